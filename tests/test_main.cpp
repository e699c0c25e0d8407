// Runs all CppUnit suites that are linked into this test program.

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <string>

/**
 * Runs the registered tests whose path is given, or all of them.
 * @param aCount Number of arguments.
 * @param aArguments Optional name of one suite.
 * @return 0 when all tests passed, else 1.
 */
int
main(int aCount, char** aArguments)
{
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  result.addListener(&collector);
  result.addListener(&progress);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(result, aCount > 1 ? std::string(aArguments[1]) : std::string());
  CppUnit::CompilerOutputter outputter(&collector, std::cerr);
  outputter.write();
  const int failed = collector.testFailuresTotal();
  const int passed = collector.runTests() - failed;
  std::cout << passed << " passed, " << failed << " failed" << std::endl;
  return failed == 0 && passed > 0 ? 0 : 1;
}
