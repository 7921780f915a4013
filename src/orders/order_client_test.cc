// Tests which answers to an order count as accepted, with an endpoint whose
// answers break off or don't end. The sockets are on loopback with ports that
// the system assigns.
#include "orders/order_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "endpoints/answer_forms_test.h"
#include "endpoints/scripted_endpoint_test.h"

namespace baobabrun {

class OrderClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OrderClientTest);
  CPPUNIT_TEST(OrderWhoseAnswerEndsInsideItsHeadIsNotAccepted);
  CPPUNIT_TEST(OrderWhoseAnswerDoesNotEndIsNotAccepted);
  CPPUNIT_TEST(OrderWhoseAnswerRfc9112DoesNotAllowIsNotAccepted);
  CPPUNIT_TEST(OrderWithASoundAnswerIsAccepted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OrderWhoseAnswerEndsInsideItsHeadIsNotAccepted() {
    CPPUNIT_ASSERT_EQUAL(0, Refused({"HTTP/1.1 200 OK\r\n\r\n"}));
    CPPUNIT_ASSERT_EQUAL(0, Refused({"HTTP/1.1 202 OK\r\n"
                                     "Content-Length: 0\r\n\r\n"}));
    CPPUNIT_ASSERT_EQUAL(1, Refused({"HTTP/1.1 503 No\r\n\r\n"}));
    CPPUNIT_ASSERT_EQUAL(1, Refused({"HTTP/1.1 200 OK\r\n"}));
    CPPUNIT_ASSERT_EQUAL(1, Refused({"HTTP/1.1 200 OK\r\nContent-Le"}));
  }

  void OrderWhoseAnswerDoesNotEndIsNotAccepted() {
    const auto hold = ScriptedAnswer::End::kHold;
    const std::string head = "HTTP/1.1 200 OK\r\n";
    CPPUNIT_ASSERT_EQUAL(1, Refused({head, hold, "X-A: a\r\n"}));
    CPPUNIT_ASSERT_EQUAL(1, Refused({head + "\r\n", hold, "aaaaaaaa"}));
  }

  void OrderWhoseAnswerRfc9112DoesNotAllowIsNotAccepted() {
    for (const auto& it : InvalidAnswers()) {
      const auto text = it.TextWith("");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 1, Refused({text}));
    }
  }

  void OrderWithASoundAnswerIsAccepted() {
    for (const auto& it : SoundAnswers()) {
      const auto text = it.TextWith("");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 0, Refused({text}));
    }
  }

 private:
  // Sends an order to an endpoint that gives `answer` to it, then one to an
  // endpoint that accepts it. Returns how many were refused.
  static int Refused(ScriptedAnswer answer) {
    ScriptedEndpoint endpoint({std::move(answer)});
    ScriptedEndpoint accepting({{"HTTP/1.1 200 OK\r\n\r\n"}});
    std::atomic<int> refused{0};
    auto client =
        OrderClient::Start([&refused](const EndpointOrder&) { ++refused; });
    CPPUNIT_ASSERT(client.ok());
    for (const auto* it : {&endpoint, &accepting}) {
      EndpointOrder order;
      order.address = it->address();
      CPPUNIT_ASSERT(client.value()->Send(std::move(order)));
    }
    // Orders are sent one after the other.
    while (accepting.bytes_sent() == 0) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    return refused;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OrderClientTest);

}  // namespace baobabrun
