// Tests that joined runs of a stream neither lose nor repeat an event, and that
// a run whose place can't be told isn't joined.
#include "gateway/stream_continuation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace baobabrun {

class StreamContinuationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamContinuationTest);
  CPPUNIT_TEST(RunsAreJoinedWithoutLossOrRepetition);
  CPPUNIT_TEST_SUITE_END();

 public:
  using Position = StreamContinuation::Position;
  using Verdict = StreamContinuation::Verdict;

  void RunsAreJoinedWithoutLossOrRepetition() {
    struct Row {
      const char* name;
      // Ids of the events of each run; "-" has no id and "#" is a comment.
      std::vector<std::vector<std::string>> runs;
      // For each event: f(orwarded), s(kipped) or x (can't continue).
      const char* verdicts;
      Position last;
      bool can_resume;
    };
    const Row rows[] = {
        {"goes on", {{"1", "2"}, {"3"}}, "fff", Position::kCurrent, true},
        {"begins again",
         {{"1", "2"}, {"1", "2", "3"}},
         "ffssf",
         Position::kCurrent,
         true},
        {"shorter", {{"1", "2"}, {"1"}}, "ffs", Position::kBehind, true},
        {"as long", {{"1", "2"}, {"1", "2"}}, "ffss", Position::kCurrent, true},
        {"no numbers", {{"x-1"}, {"x-2"}}, "ff", Position::kCurrent, true},
        {"no numbers, begins again",
         {{"b", "a"}, {"b", "a", "c"}},
         "ffssf",
         Position::kCurrent,
         true},
        {"no numbers, shorter",
         {{"b", "a"}, {"b"}},
         "ffs",
         Position::kBehind,
         true},
        {"numbers and others",
         {{"7", "x"}, {"7", "x", "8"}},
         "ffssf",
         Position::kCurrent,
         true},
        {"larger than any number",
         {{"99999999999999999999"}, {"99999999999999999998"}},
         "ff",
         Position::kCurrent,
         true},
        {"without ids", {{"-"}, {"-"}}, "fx", Position::kUnknown, false},
        {"without id after the last one",
         {{"1", "-"}, {"2"}},
         "fff",
         Position::kCurrent,
         true},
        {"without id in between",
         {{"1", "-", "2"}, {"1", "-", "2", "-"}},
         "fffsssf",
         Position::kCurrent,
         false},
        {"comments",
         {{"#", "1"}, {"#", "1", "#", "2"}},
         "fffsff",
         Position::kCurrent,
         true},
        {"nothing before", {{}, {"-", "1"}}, "ff", Position::kCurrent, true},
        {"same id twice in one run",
         {{"1", "1"}},
         "ff",
         Position::kCurrent,
         true},
    };
    for (const auto& row : rows) {
      StreamContinuation stream;
      std::string verdicts;
      Position position{};
      for (const auto& run : row.runs) {
        position = stream.Begin();
        for (const auto& it : run) {
          CompleteEvent event;
          event.has_field = it != "#";
          event.id = it == "#" || it == "-" ? "" : it;
          const auto verdict = stream.Judge(event, &position);
          verdicts += verdict == Verdict::kForward ? 'f'
                      : verdict == Verdict::kSkip  ? 's'
                                                   : 'x';
        }
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string(row.verdicts),
                                   verdicts);
      CPPUNIT_ASSERT_MESSAGE(row.name, row.last == position);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.can_resume,
                                   stream.can_resume());
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StreamContinuationTest);

}  // namespace baobabrun
