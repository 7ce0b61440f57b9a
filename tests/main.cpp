/// Runs the CppUnit fixtures named on the command line, or all of them.
///
/// Skips the tests that KNOWN-RED.txt lists (PUMICEMAST_KNOWN_RED is its path) and prints their
/// names.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>
#include <string>

namespace {

/// Each entry of the file starts with `Fixture::test: `.
std::set<std::string> read_known_red() {
  std::set<std::string> names;
  const char* path = std::getenv("PUMICEMAST_KNOWN_RED");
  if (path == nullptr) return names;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    const auto end = line.find(": ");
    if (end != std::string::npos) names.insert(line.substr(0, end));
  }
  return names;
}

/// CppUnit prefixes the names of fixtures with the namespace.
std::string without_namespace(const std::string& name) {
  const std::string prefix = "pumicemast::";
  return name.starts_with(prefix) ? name.substr(prefix.size()) : name;
}

/// Runs all tests but those in `known_red`.
/// @return the number of skipped tests.
int run_except(const std::set<std::string>& known_red, CppUnit::Test& test,
               CppUnit::TestResult& result) {
  if (known_red.contains(without_namespace(test.getName()))) {
    std::cout << "skipped, listed in KNOWN-RED.txt: " << without_namespace(test.getName()) << "\n";
    return 1;
  }
  if (test.getChildTestCount() == 0) {
    test.run(&result);
    return 0;
  }
  int skipped = 0;
  for (int child = 0; child < test.getChildTestCount(); ++child) {
    skipped += run_except(known_red, *test.getChildTestAt(child), result);
  }
  return skipped;
}

}  // namespace

int main(int argc, char** argv) {
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  result.addListener(&collector);
  result.addListener(&progress);
  const std::set<std::string> known_red = read_known_red();
  CppUnit::Test* all = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
  int skipped = 0;
  if (argc < 2) skipped += run_except(known_red, *all, result);
  for (int index = 1; index < argc; ++index) {
    const std::string wanted = std::string("::") + argv[index];
    for (int child = 0; child < all->getChildTestCount(); ++child) {
      CppUnit::Test* fixture = all->getChildTestAt(child);
      if (fixture->getName().ends_with(wanted)) {
        skipped += run_except(known_red, *fixture, result);
      }
    }
  }
  CppUnit::CompilerOutputter outputter(&collector, std::cerr);
  outputter.write();
  // An unknown fixture, or one without tests, must not pass.
  return collector.wasSuccessful() && collector.runTests() + skipped > 0 ? 0 : 1;
}
