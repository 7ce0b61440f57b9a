#include <algorithm>
#include <charconv>

#include "commands/command.h"

namespace pumicemast {
namespace {

constexpr std::size_t kMaximumNameLength = 200;

Error expected_error(const std::string& word, const std::string& expected) {
  const std::string place = word.empty() ? "end of command" : "\"" + word + "\"";
  return Error{ErrorCode::invalid_argument, place, "expected " + expected};
}

bool is_name(const std::string& text) {
  const auto is_allowed = [](char character) {
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') ||
           std::string_view("._-/:").find(character) != std::string_view::npos;
  };
  return !text.empty() && text.size() <= kMaximumNameLength &&
         std::all_of(text.begin(), text.end(), is_allowed);
}

template <class Number>
leaf::result<Number> parse_number(const std::string& key, const std::string& text) {
  Number number{};
  const char* end = text.data() + text.size();
  const auto [stop, failure] = std::from_chars(text.data(), end, number);
  if (failure != std::errc() || stop != end) {
    return leaf::new_error(expected_error(key + "=" + text, "a number for " + key));
  }
  return number;
}

/// Reads the words of one command in order.
class WordReader {
 public:
  explicit WordReader(const std::vector<std::string>& words) : words_(words) {}

  bool at_end() const { return next_ == words_.size(); }
  std::string peek() const { return at_end() ? std::string() : words_[next_]; }
  std::string take() { return at_end() ? std::string() : words_[next_++]; }

  leaf::result<std::string> take_name(const std::string& what) {
    const std::string word = take();
    if (!is_name(word)) return leaf::new_error(expected_error(word, what));
    return word;
  }

  leaf::result<void> expect_end() {
    if (at_end()) return {};
    return leaf::new_error(expected_error(peek(), "nothing more"));
  }

  /// Reads the remaining words as KEY=VALUE options whose keys must be in `allowed`.
  leaf::result<std::map<std::string, std::string>> take_options(
      const std::vector<std::string>& allowed) {
    std::map<std::string, std::string> options;
    while (!at_end()) {
      const std::string word = take();
      const auto equals = word.find('=');
      const std::string key = word.substr(0, equals);
      const bool known = std::find(allowed.begin(), allowed.end(), key) != allowed.end();
      if (equals == std::string::npos || !known) {
        std::string names;
        for (const std::string& name : allowed) names += (names.empty() ? "" : ", ") + name + "=";
        return leaf::new_error(expected_error(word, "one of " + names));
      }
      if (!options.emplace(key, word.substr(equals + 1)).second) {
        return leaf::new_error(expected_error(word, key + "= only once"));
      }
    }
    return options;
  }

 private:
  const std::vector<std::string>& words_;
  std::size_t next_ = 0;
};

using Options = std::map<std::string, std::string>;

std::string option_or(const Options& options, const std::string& key, const std::string& fallback) {
  const auto found = options.find(key);
  return found == options.end() ? fallback : found->second;
}

template <class Number>
leaf::result<Number> number_option(const Options& options, const std::string& key,
                                   std::optional<Number> fallback) {
  const auto found = options.find(key);
  if (found != options.end()) return parse_number<Number>(key, found->second);
  if (!fallback) return leaf::new_error(expected_error("", key + "=N"));
  return *fallback;
}

leaf::result<void> read_expect(const Options& options, Command& command) {
  const auto found = options.find("expect");
  if (found == options.end()) return {};
  BOOST_LEAF_AUTO(version, parse_number<ObjectVersion>("expect", found->second));
  command.expect = version;
  return {};
}

leaf::result<Command> parse_show(WordReader& words) {
  static const std::map<std::string, ShowSubject> kSubjects{
      {"versions", ShowSubject::versions}, {"rollouts", ShowSubject::rollouts},
      {"targets", ShowSubject::targets},   {"routes", ShowSubject::routes},
      {"tenants", ShowSubject::tenants},   {"stops", ShowSubject::stops},
      {"machines", ShowSubject::machines}, {"replicas", ShowSubject::replicas},
      {"status", ShowSubject::status}};
  const std::string subject = words.take();
  const auto found = kSubjects.find(subject);
  if (found == kSubjects.end()) {
    return leaf::new_error(expected_error(
        subject,
        "versions, rollouts, targets, routes, tenants, stops, machines, replicas or status"));
  }
  ShowCommand show;
  show.subject = found->second;
  if (!words.at_end()) {
    const std::string keyword = words.take();
    if (keyword != "where") return leaf::new_error(expected_error(keyword, "where"));
    while (true) {
      const std::string word = words.take();
      const auto equals = word.find('=');
      if (equals == std::string::npos || equals == 0) {
        return leaf::new_error(expected_error(word, "FIELD=VALUE"));
      }
      show.conditions.push_back({word.substr(0, equals), word.substr(equals + 1)});
      if (words.at_end()) break;
      const std::string conjunction = words.take();
      if (conjunction != "and") return leaf::new_error(expected_error(conjunction, "and"));
    }
  }
  return Command{show, std::nullopt};
}

leaf::result<Command> parse_explain(WordReader& words) {
  ExplainCommand explain;
  BOOST_LEAF_ASSIGN(explain.model, words.take_name("a model"));
  BOOST_LEAF_ASSIGN(explain.machine, words.take_name("a machine"));
  BOOST_LEAF_CHECK(words.expect_end());
  return Command{explain, std::nullopt};
}

leaf::result<RolloutObjective> parse_objective(const std::string& text) {
  if (text == "time") return RolloutObjective::time;
  if (text == "origin_bytes") return RolloutObjective::origin_bytes;
  return leaf::new_error(expected_error("objective=" + text, "time or origin_bytes"));
}

leaf::result<Command> parse_create(WordReader& words) {
  Command command;
  const std::string what = words.take();
  if (what == "version") {
    CreateVersionCommand create;
    BOOST_LEAF_ASSIGN(create.version.model, words.take_name("a model"));
    BOOST_LEAF_ASSIGN(create.version.version, words.take_name("a version"));
    BOOST_LEAF_AUTO(options, words.take_options({"digest", "bytes", "chunks", "expect"}));
    create.version.digest = option_or(options, "digest", "");
    if (create.version.digest.size() != 64) {
      return leaf::new_error(expected_error("digest=" + create.version.digest,
                                            "digest= with 64 hexadecimal characters"));
    }
    BOOST_LEAF_ASSIGN(create.version.bytes,
                      number_option<std::uint64_t>(options, "bytes", std::nullopt));
    BOOST_LEAF_ASSIGN(create.version.chunk_count,
                      number_option<std::uint32_t>(options, "chunks", std::nullopt));
    BOOST_LEAF_CHECK(read_expect(options, command));
    command.body = create;
    return command;
  }
  if (what != "rollout") return leaf::new_error(expected_error(what, "version or rollout"));
  CreateRolloutCommand create;
  BOOST_LEAF_ASSIGN(create.model, words.take_name("a model"));
  BOOST_LEAF_ASSIGN(create.version, words.take_name("a version"));
  BOOST_LEAF_AUTO(options,
                  words.take_options({"objective", "max_unavailable", "priority", "expect"}));
  BOOST_LEAF_ASSIGN(create.objective, parse_objective(option_or(options, "objective", "time")));
  BOOST_LEAF_ASSIGN(create.priority, number_option<int>(options, "priority", 0));
  if (options.contains("max_unavailable")) {
    BOOST_LEAF_ASSIGN(create.max_unavailable,
                      number_option<std::uint32_t>(options, "max_unavailable", std::nullopt));
  }
  BOOST_LEAF_CHECK(read_expect(options, command));
  command.body = create;
  return command;
}

leaf::result<Command> parse_rollout_operation(RolloutOperation operation, WordReader& words) {
  const std::string what = words.take();
  if (what != "rollout") return leaf::new_error(expected_error(what, "rollout"));
  Command command;
  ControlRolloutCommand body;
  body.operation = operation;
  BOOST_LEAF_ASSIGN(body.model, words.take_name("a model"));
  BOOST_LEAF_AUTO(options, words.take_options({"expect"}));
  BOOST_LEAF_CHECK(read_expect(options, command));
  command.body = body;
  return command;
}

leaf::result<Command> parse_set_target(WordReader& words) {
  Command command;
  SetTargetCommand body;
  BOOST_LEAF_ASSIGN(body.target.model, words.take_name("a model"));
  BOOST_LEAF_AUTO(options, words.take_options({"replicas", "floor", "expect"}));
  BOOST_LEAF_ASSIGN(body.target.replicas,
                    number_option<std::uint32_t>(options, "replicas", std::nullopt));
  BOOST_LEAF_ASSIGN(body.target.floor, number_option<std::uint32_t>(options, "floor", 0U));
  if (body.target.floor > body.target.replicas) {
    return leaf::new_error(expected_error("floor=" + std::to_string(body.target.floor),
                                          "a floor of at most replicas"));
  }
  BOOST_LEAF_CHECK(read_expect(options, command));
  command.body = body;
  return command;
}

leaf::result<Command> parse_set_route(WordReader& words) {
  Command command;
  SetRouteCommand body;
  BOOST_LEAF_ASSIGN(body.route.id, words.take_name("a route's name"));
  BOOST_LEAF_AUTO(options, words.take_options({"path", "service", "alias", "model", "expect"}));
  body.route.path_prefix = option_or(options, "path", "");
  body.route.service = option_or(options, "service", "");
  body.route.alias = option_or(options, "alias", "");
  body.route.model = option_or(options, "model", "");
  const bool to_service = !body.route.path_prefix.empty() && !body.route.service.empty() &&
                          body.route.alias.empty() && body.route.model.empty();
  const bool to_model = !body.route.alias.empty() && !body.route.model.empty() &&
                        body.route.path_prefix.empty() && body.route.service.empty();
  if (!to_service && !to_model) {
    return leaf::new_error(expected_error("", "either path= and service=, or alias= and model="));
  }
  if (to_service && body.route.path_prefix.front() != '/') {
    return leaf::new_error(expected_error("path=" + body.route.path_prefix, "a path from /"));
  }
  BOOST_LEAF_CHECK(read_expect(options, command));
  command.body = body;
  return command;
}

leaf::result<Command> parse_set_tenant(WordReader& words) {
  Command command;
  SetTenantCommand body;
  BOOST_LEAF_ASSIGN(body.tenant.id, words.take_name("a tenant"));
  BOOST_LEAF_AUTO(options,
                  words.take_options({"rate", "burst", "in_flight", "priority", "expect"}));
  BOOST_LEAF_ASSIGN(body.tenant.requests_per_second, number_option<double>(options, "rate", 10.0));
  BOOST_LEAF_ASSIGN(body.tenant.burst,
                    number_option<double>(options, "burst", body.tenant.requests_per_second));
  BOOST_LEAF_ASSIGN(body.tenant.in_flight, number_option<std::uint32_t>(options, "in_flight", 0U));
  BOOST_LEAF_ASSIGN(body.tenant.priority, number_option<int>(options, "priority", 0));
  if (!(body.tenant.requests_per_second > 0) || !(body.tenant.burst > 0)) {
    return leaf::new_error(expected_error("rate or burst", "more than 0"));
  }
  BOOST_LEAF_CHECK(read_expect(options, command));
  command.body = body;
  return command;
}

leaf::result<Command> parse_set(WordReader& words) {
  const std::string what = words.take();
  if (what == "target") return parse_set_target(words);
  if (what == "route") return parse_set_route(words);
  if (what == "tenant") return parse_set_tenant(words);
  return leaf::new_error(expected_error(what, "target, route or tenant"));
}

leaf::result<Command> parse_delete(WordReader& words) {
  static const std::map<std::string, std::string> kKinds{{"target", ReplicaTarget::kKind},
                                                         {"route", Route::kKind},
                                                         {"tenant", Tenant::kKind},
                                                         {"version", ModelVersion::kKind}};
  const std::string what = words.take();
  const auto kind = kKinds.find(what);
  if (kind == kKinds.end()) {
    return leaf::new_error(expected_error(what, "target, route, tenant or version"));
  }
  Command command;
  DeleteCommand body;
  body.kind = kind->second;
  body.name = words.take();
  if (body.name.empty()) return leaf::new_error(expected_error("", "a name"));
  BOOST_LEAF_AUTO(options, words.take_options({"expect"}));
  BOOST_LEAF_CHECK(read_expect(options, command));
  command.body = body;
  return command;
}

leaf::result<Command> parse_stop(WordReader& words, bool cancel) {
  const std::string what = words.take();
  if (what != "stop") return leaf::new_error(expected_error(what, "stop"));
  Command command;
  BOOST_LEAF_AUTO(machine, words.take_name("a machine"));
  if (cancel) {
    BOOST_LEAF_AUTO(options, words.take_options({"expect"}));
    BOOST_LEAF_CHECK(read_expect(options, command));
    command.body = CancelStopCommand{machine};
    return command;
  }
  BOOST_LEAF_AUTO(options, words.take_options({"force", "expect"}));
  const std::string force = option_or(options, "force", "false");
  if (force != "true" && force != "false") {
    return leaf::new_error(expected_error("force=" + force, "true or false"));
  }
  BOOST_LEAF_CHECK(read_expect(options, command));
  command.body = PlanStopCommand{machine, force == "true"};
  return command;
}

}  // namespace

leaf::result<Command> parse_command(const std::vector<std::string>& words) {
  WordReader reader(words);
  const std::string verb = reader.take();
  if (verb == "show") return parse_show(reader);
  if (verb == "explain") return parse_explain(reader);
  if (verb == "create") return parse_create(reader);
  if (verb == "pause") return parse_rollout_operation(RolloutOperation::pause, reader);
  if (verb == "resume") return parse_rollout_operation(RolloutOperation::resume, reader);
  if (verb == "abort") return parse_rollout_operation(RolloutOperation::abort, reader);
  if (verb == "rollback") return parse_rollout_operation(RolloutOperation::rollback, reader);
  if (verb == "set") return parse_set(reader);
  if (verb == "delete") return parse_delete(reader);
  if (verb == "plan") return parse_stop(reader, false);
  if (verb == "cancel") return parse_stop(reader, true);
  return leaf::new_error(expected_error(
      verb, "show, explain, create, pause, resume, abort, rollback, set, delete, plan or cancel"));
}

bool is_query(const Command& command) {
  return std::holds_alternative<ShowCommand>(command.body) ||
         std::holds_alternative<ExplainCommand>(command.body);
}

}  // namespace pumicemast
