/// pumicemast-load: sends a mix of requests and prints the results as figures.
///
/// With `[journals] urls`, it then reads the executions recorded by engines and services and
/// compares them with the responses that callers received.
#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "common/command_line.h"
#include "load/load_generator.h"

namespace {

using namespace pumicemast;
using nlohmann::json;

constexpr Duration kJournalTimeout = seconds(10);

std::vector<std::string> split(const std::string& text) {
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin < text.size()) {
    const std::size_t end = std::min(text.find(';', begin), text.size());
    if (end > begin) parts.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return parts;
}

/// Number of executions by request id and by idempotency key, summed over all journals.
struct Executions {
  std::map<std::string, std::uint32_t> by_request;
  std::map<std::string, std::uint32_t> by_key;
  std::uint32_t unreadable_journals = 0;  ///< Journals of back ends that have been killed.
};

void add_journal(const std::string& body, Executions& executions) {
  const json document = json::parse(body, nullptr, false);
  if (!document.is_object()) {
    ++executions.unreadable_journals;
    return;
  }
  for (const json& entry : document["executions"]) {
    ++executions.by_request[entry.value("request_id", "")];
    const json call = json::parse(entry.value("body", ""), nullptr, false);
    if (call.is_object() && call.contains("key")) {
      ++executions.by_key[call["key"].get<std::string>()];
    }
  }
}

Executions read_journals(const std::vector<std::string>& urls, EventLoop& loop) {
  Executions executions;
  HttpClient client(kJournalTimeout);
  std::size_t open = urls.size();
  if (open == 0) return executions;
  for (const std::string& url : urls) {
    HttpRequest request;
    request.url = url + "/executions";
    client.fetch_owned(request, [&](const HttpResponse& response) {
      add_journal(response.body, executions);
      if (--open == 0) loop.quit();
    });
  }
  loop.run();
  return executions;
}

double percentile_ms(std::vector<Duration> values, double fraction) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
  return to_seconds(values[index]) * 1000;
}

void print_figure(const std::string& name, double value, const char* unit) {
  std::cout << "figure " << name << " " << value << " " << unit << "\n";
}

void print_figures(const std::vector<LoadRecord>& records, const Executions& executions) {
  std::map<Verdict, std::uint32_t> verdicts;
  std::uint32_t executed_twice = 0;
  std::uint32_t ran_despite_refusal = 0;
  std::vector<Duration> first_bytes;
  std::set<std::string> tags;
  std::set<std::string> keys;
  for (const LoadRecord& record : records) {
    ++verdicts[record.verdict];
    if (!record.tag.empty()) tags.insert(record.tag);
    if (record.verdict == Verdict::complete) first_bytes.push_back(record.first_byte - record.sent);
    const auto ran = executions.by_request.find(record.request_id);
    const bool executed = ran != executions.by_request.end();
    if (record.verdict == Verdict::not_run && executed) ++ran_despite_refusal;
    if (!record.key.empty() && keys.insert(record.key).second) {
      const auto by_key = executions.by_key.find(record.key);
      if (by_key != executions.by_key.end() && by_key->second > 1) ++executed_twice;
    }
  }
  print_figure("requests_sent", static_cast<double>(records.size()), "requests");
  print_figure("answers_whole", verdicts[Verdict::complete], "answers");
  print_figure("answers_lost", verdicts[Verdict::lost], "answers");
  print_figure("answers_foreign", verdicts[Verdict::foreign], "answers");
  print_figure("answers_mixed", verdicts[Verdict::mixed], "answers");
  print_figure("answers_doubled", executed_twice, "keys");
  print_figure("refused_not_run", verdicts[Verdict::not_run], "requests");
  print_figure("refused_not_run_but_ran", ran_despite_refusal, "requests");
  print_figure("outcome_unknown", verdicts[Verdict::unknown], "requests");
  print_figure("versions_seen", static_cast<double>(tags.size()), "versions");
  print_figure("journals_unreadable", executions.unreadable_journals, "journals");
  print_figure("first_byte_p50", percentile_ms(first_bytes, 0.5), "ms");
  print_figure("first_byte_p95", percentile_ms(first_bytes, 0.95), "ms");
}

void write_history(const std::string& path, const std::vector<LoadRecord>& records) {
  std::ofstream stream(path);
  for (const LoadRecord& record : records) {
    stream << json{{"request_id", record.request_id},
                   {"kind", record.kind},
                   {"key", record.key},
                   {"verdict", to_string(record.verdict)},
                   {"status", record.status},
                   {"tag", record.tag},
                   {"sent_us", record.sent.time_since_epoch().count()},
                   {"done_us", record.done.time_since_epoch().count()}}
                  .dump()
           << "\n";
  }
}

}  // namespace

int main(int argc, char** argv) {
  Findings findings;
  const DaemonStart start =
      start_daemon(argc, argv,
                   {"pumicemast-load", "sends a mix of requests and checks every response",
                    "pumicemast-load --settings load.ini --set load.duration_ms=30000"},
                   findings);
  if (start.should_exit()) return start.exit_code;
  const LoadSettings settings = LoadSettings::read(*start.settings);
  const auto journals = split(start.settings->string_or("journals", "urls", ""));
  start.settings->report_unknown();
  if (refuse_if_any(findings) != kExitOk) return kExitUsage;

  EventLoop loop;
  LoadGenerator generator(settings, [&] { loop.quit(); });
  loop.on_terminate([&] { generator.stop(); });
  generator.start();
  loop.run();
  const Executions executions = read_journals(journals, loop);
  print_figures(generator.records(), executions);
  if (!settings.history_path.empty()) write_history(settings.history_path, generator.records());
  return kExitOk;
}
