/// Runs the CppUnit fixtures named on the command line, or all of them.
///
/// Tests that KNOWN-RED.txt lists (named by PUMICEMAST_KNOWN_RED) are passed over and told.
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

/// Each line begins with `Fixture::test:`.
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

/// CppUnit puts the namespace before the fixture's name.
std::string without_namespace(const std::string& name) {
  const std::string prefix = "pumicemast::";
  return name.starts_with(prefix) ? name.substr(prefix.size()) : name;
}

/// @return how many tests were passed over.
int run_except(const std::set<std::string>& known_red, CppUnit::Test& test,
               CppUnit::TestResult& result) {
  if (known_red.contains(without_namespace(test.getName()))) {
    std::cout << "passed over, known red: " << without_namespace(test.getName()) << "\n";
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
  // A fixture without tests would pass unseen.
  return collector.wasSuccessful() && collector.runTests() + skipped > 0 ? 0 : 1;
}
