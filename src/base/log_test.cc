// Tests of JSON log lines: their content, and which lines are dropped when the
// reader is slow or gone. The tests replace standard output by a pipe.
#include "base/log.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <string>

namespace baobabrun {

class LogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(JsonLineContainsFieldsAndText);
  CPPUNIT_TEST(FullPipeDropsLinesAndCountsThem);
  CPPUNIT_TEST(WriteWithoutReaderRaisesNoSignal);
  CPPUNIT_TEST(WarningsHaveTheirOwnRateAllowance);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    std::fflush(stdout);
    CPPUNIT_ASSERT_EQUAL(0, pipe(pipe_.data()));
    fcntl(pipe_[0], F_SETFL, O_NONBLOCK);
    saved_ = dup(STDOUT_FILENO);
    dup2(pipe_[1], STDOUT_FILENO);
    close(pipe_[1]);
    LogAsJson("vm-1");
    SetLogRate(kUnlimitedRate);
  }

  void tearDown() override {
    dup2(saved_, STDOUT_FILENO);
    close(saved_);
    if (pipe_[0] >= 0) {
      close(pipe_[0]);
    }
    SetLogRate(kDefaultLogRate);
  }

  void JsonLineContainsFieldsAndText() {
    const std::string quoted = "a\"b\n";
    Log(Event::kCallSent,
        {{"call", quoted}, {"cost", std::int64_t{12}}, {"cut", true}},
        "goes to {}", "e1");
    const auto line = ReadAll();
    CPPUNIT_ASSERT(Contains(line,
                            R"("event":"CallSent","number":2203,"vm":"vm-1",)"
                            R"("call":"a\"b\u000a","cost":12,"cut":true,)"
                            R"("text":"goes to e1"})"));
  }

  void FullPipeDropsLinesAndCountsThem() {
    constexpr int kLines = 5'000;  // many more than fit into a pipe
    for (int n = 0; n < kLines; ++n) {
      Log(Event::kCallSent, {{"call", std::to_string(n)}}, "line");
    }
    const auto lines = ReadAll();
    CPPUNIT_ASSERT(Contains(lines, "\"call\":\"0\""));
    CPPUNIT_ASSERT(!Contains(lines, "\"call\":\"4999\""));
    Log(Event::kCallSent, {{"call", "next"}}, "line");
    const auto next = ReadAll();
    CPPUNIT_ASSERT(Contains(next, "\"dropped\":"));
    CPPUNIT_ASSERT(Contains(next, "\"call\":\"next\""));
  }

  void WriteWithoutReaderRaisesNoSignal() {
    close(pipe_[0]);
    pipe_[0] = -1;
    Log(Event::kCallSent, {{"call", "1"}}, "line");
  }

  void WarningsHaveTheirOwnRateAllowance() {
    constexpr int kRate = 10;
    SetLogRate(kRate);
    for (int n = 0; n < 2 * kRate; ++n) {
      Log(Event::kCallSent, {{"call", std::to_string(n)}}, "line");
    }
    for (int n = 0; n < kRate; ++n) {
      Log(Event::kCallRefused, {{"call", std::to_string(n)}}, "line");
    }
    const auto lines = ReadAll();
    CPPUNIT_ASSERT(!Contains(lines, "\"call\":\"19\""));
    CPPUNIT_ASSERT_EQUAL(kRate, Count(lines, "CallRefused"));
  }

 private:
  static constexpr std::int64_t kUnlimitedRate = 1'000'000;

  std::string ReadAll() {
    std::string all;
    std::array<char, 4096> buf{};
    for (auto n = read(pipe_[0], buf.data(), buf.size()); n > 0;
         n = read(pipe_[0], buf.data(), buf.size())) {
      all.append(buf.data(), static_cast<std::size_t>(n));
    }
    return all;
  }
  static bool Contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
  }
  static int Count(const std::string& text, const std::string& part) {
    int count = 0;
    for (auto at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1)) {
      ++count;
    }
    return count;
  }

  std::array<int, 2> pipe_{};
  int saved_ = -1;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);

}  // namespace baobabrun
