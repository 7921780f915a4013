// The main function of every CppUnit test program.
//
//   PROGRAM                  runs all cases
//   PROGRAM CASE             runs the case or suite with that full name
//   PROGRAM --except CASE... runs all cases but those with these full names
//
// Exits with 1 if a case failed, and with 2 if there is no such case.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUnknownCase = 2;

// Returns the cases of `test`, which is a case itself if it has no children.
std::vector<CppUnit::Test*> CasesOf(CppUnit::Test* test) {
  if (test->getChildTestCount() == 0) {
    return {test};
  }
  std::vector<CppUnit::Test*> cases;
  for (int n = 0; n < test->getChildTestCount(); ++n) {
    const auto below = CasesOf(test->getChildTestAt(n));
    cases.insert(cases.end(), below.begin(), below.end());
  }
  return cases;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const bool all_but = !arguments.empty() && arguments[0] == "--except";
  const std::set<std::string> named(arguments.begin() + (all_but ? 1 : 0),
                                    arguments.end());
  const std::unique_ptr<CppUnit::Test> root(
      CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  auto unknown = named;
  std::vector<CppUnit::Test*> chosen;
  for (auto* it : CasesOf(root.get())) {
    const auto name = it->getName();
    const auto suite = name.substr(0, name.rfind("::"));
    unknown.erase(name);
    unknown.erase(suite);
    const bool is_named = named.contains(name) || named.contains(suite);
    if (named.empty() || is_named != all_but) {
      chosen.push_back(it);
    }
  }
  for (const auto& it : unknown) {
    std::cerr << "there is no test case " << it << "\n";
  }
  if (!unknown.empty()) {
    return kExitUnknownCase;
  }
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  controller.addListener(&collector);
  controller.addListener(&progress);
  for (auto* it : chosen) {
    it->run(&controller);
  }
  CppUnit::CompilerOutputter(&collector, std::cerr).write();
  return collector.wasSuccessful() ? 0 : kExitFailed;
}
