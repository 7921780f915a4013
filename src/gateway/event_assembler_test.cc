// Tests that events are found whatever ends their lines and however their bytes
// arrive, and that no byte is changed.
#include "gateway/event_assembler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace baobabrun {
namespace {

struct AssembledStream {
  std::string forwarded;
  std::string ids;
  bool inside_event = false;
};

AssembledStream Assemble(const std::string& bytes, std::size_t step) {
  EventAssembler assembler;
  AssembledStream stream;
  for (std::size_t n = 0; n < bytes.size(); n += step) {
    for (const auto& it : assembler.Push(bytes.substr(n, step))) {
      stream.forwarded += it.bytes;
      stream.ids += it.id + ";";
    }
  }
  stream.inside_event = assembler.inside_event();
  stream.forwarded += assembler.rest();
  return stream;
}

}  // namespace

class EventAssemblerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventAssemblerTest);
  CPPUNIT_TEST(EventsAreFoundInAnyPieces);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EventsAreFoundInAnyPieces() {
    struct Row {
      const char* name;
      std::string bytes;
      const char* ids;
      bool inside_event;
    };
    const Row rows[] = {
        {"line feeds", "id: 1\ndata: a\n\nid:2\n\n", "1;2;", false},
        {"both", "id: 1\r\ndata: a\r\n\r\nid:2\r\n\r\n", "1;2;", false},
        {"carriage returns", "id: 1\rdata: a\r\rid:2\r\r", "1;2;", false},
        {"mixed", "id: 1\r\ndata: a\n\rid:2\r\r\n", "1;2;", false},
        {"no id", "data: a\n\n", ";", false},
        {"empty", "", "", false},
        {"comments after the last event", "id: 1\n\n: a\n:b\r\n", "1;", false},
        {"inside a comment", "id: 1\n\n: a", "1;", true},
        {"inside a field", "id: 1\n\nid", "1;", true},
        {"after a field", "id: 1\n\nid: 2\n", "1;", true},
        {"after a field and a comment", "data: a\n: b\n", "", true},
        {"before the blank line's feed", "id: 1\r\n\r", "1;", false},
    };
    for (const auto& it : rows) {
      for (std::size_t step = 1; step <= it.bytes.size() + 1; ++step) {
        const auto stream = Assemble(it.bytes, step);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.bytes, stream.forwarded);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, std::string(it.ids), stream.ids);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.inside_event,
                                     stream.inside_event);
      }
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EventAssemblerTest);

}  // namespace baobabrun
