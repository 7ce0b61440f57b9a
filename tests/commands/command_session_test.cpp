#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "commands/command_executor.h"
#include "support/backends.h"
#include "support/memory_object_store.h"
#include "support/source_folders.h"

namespace pumicemast {
namespace {

constexpr char kUpdateVariable[] = "PUMICEMAST_UPDATE_GOLDEN";

std::string read_file(const std::string& path) {
  std::ifstream stream(path);
  std::ostringstream content;
  content << stream.rdbuf();
  return content.str();
}

}  // namespace

/// Runs each script in tests/commands/sessions and compares the transcript and the resulting
/// objects with the golden file of the same name.
///
/// Lines of a script: a command; `user NAME`; `fault refused|lost_before|lost_after`;
/// `agent MACHINE VERSION STATE`; `behind` and `current`, between which the entry does not
/// see new writes. To regenerate the golden files, run scripts/update-golden.
class CommandSessionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommandSessionTest);
  CPPUNIT_TEST(rollout_session);
  CPPUNIT_TEST(conflict_session);
  CPPUNIT_TEST(bad_commands_session);
  CPPUNIT_TEST_SUITE_END();

 public:
  void rollout_session() { compare("rollout"); }
  void conflict_session() { compare("conflict"); }
  void bad_commands_session() { compare("bad_commands"); }

 private:
  void compare(const std::string& name) {
    const std::string base = tests::sessions_folder() + "/" + name;
    const std::string transcript = run_script(read_file(base + ".script"));
    if (std::getenv(kUpdateVariable) != nullptr) std::ofstream(base + ".golden") << transcript;
    CPPUNIT_ASSERT_EQUAL(read_file(base + ".golden"), transcript);
  }

  std::string run_script(const std::string& script) {
    std::istringstream lines(script);
    std::string line;
    while (std::getline(lines, line)) {
      if (line.empty() || line[0] == '#') continue;
      transcript_ += "> " + line + "\n";
      run_line(line);
    }
    transcript_ += "\nobjects at the end\n";
    for (const StoredObject& object : store_.all()) {
      transcript_ += object.kind + "/" + object.name + " version " +
                     std::to_string(object.version) + " " + object.value.dump() + "\n";
    }
    return transcript_;
  }

  void run_line(const std::string& line) {
    std::istringstream stream(line);
    std::vector<std::string> words;
    std::string word;
    while (stream >> word) words.push_back(word);
    if (words[0] == "user") {
      user_ = words[1];
    } else if (words[0] == "fault") {
      store_.faults.push_back(words[1] == "refused"       ? tests::WriteFault::refused
                              : words[1] == "lost_before" ? tests::WriteFault::lost_before
                                                          : tests::WriteFault::lost_after);
    } else if (words[0] == "agent") {
      if (directory_.find(words[1]) == nullptr) directory_.on_hello(tests::hello(words[1]), now_);
      directory_.on_status(words[1], tests::serving("forms", words[2], words[3]), now_);
    } else if (words[0] == "behind" || words[0] == "current") {
      is_outdated_ = words[0] == "behind";
    } else {
      run_command(words);
    }
  }

  void run_command(const std::vector<std::string>& words) {
    if (!is_outdated_) configuration_.apply_listing(store_.revision(), store_.all());
    CommandExecutor executor(
        store_, [this] { return QueryView{configuration_, directory_, "e1", "e1/1", true, now_}; });
    bool responded = false;
    executor.run(words, user_, [&](const CommandResult& result) {
      CPPUNIT_ASSERT(!responded);
      responded = true;
      if (!result.ok) {
        transcript_ += std::string(to_string(result.error.code)) + ": " + result.error.place +
                       ": " + result.error.reason + "\n";
      } else if (result.text.empty()) {
        transcript_ += format_table(result.table);
      } else {
        transcript_ += result.text + " (version " + std::to_string(result.version) + ")\n";
      }
    });
    CPPUNIT_ASSERT(responded);
  }

  TimePoint now_{seconds(1)};
  tests::MemoryObjectStore store_;
  ConfigurationStore configuration_;
  BackendDirectory directory_{seconds(3600)};
  std::string user_ = "ann";
  std::string transcript_;
  bool is_outdated_ = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandSessionTest);

}  // namespace pumicemast
