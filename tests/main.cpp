/// Runs the CppUnit fixtures named on the command line, or all of them.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <string>

int main(int argc, char** argv) {
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  result.addListener(&collector);
  result.addListener(&progress);
  CppUnit::Test* all = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
  CppUnit::TestRunner runner;
  runner.addTest(all);
  if (argc < 2) runner.run(result);
  for (int index = 1; index < argc; ++index) {
    const std::string wanted = std::string("::") + argv[index];
    for (int child = 0; child < all->getChildTestCount(); ++child) {
      CppUnit::Test* fixture = all->getChildTestAt(child);
      const std::string name = fixture->getName();
      const bool matches = name.size() >= wanted.size() &&
                           name.compare(name.size() - wanted.size(), wanted.size(), wanted) == 0;
      if (matches) fixture->run(&result);
    }
  }
  CppUnit::CompilerOutputter outputter(&collector, std::cerr);
  outputter.write();
  // A fixture without tests would pass unseen.
  return collector.wasSuccessful() && collector.runTests() > 0 ? 0 : 1;
}
