// Tests the text that GET /metrics returns.
#include "metrics/metrics.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

namespace baobabrun {
namespace {

bool Contains(const std::string& page, const std::string& line) {
  return page.find(line + "\n") != std::string::npos;
}

}  // namespace

class MetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(HistogramsAreLabelledByOrganisationAndClass);
  CPPUNIT_TEST(RefusalsAreCountedByReason);
  CPPUNIT_TEST(OrganisationsBeyondTheCapShareALabel);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HistogramsAreLabelledByOrganisationAndClass() {
    Metrics metrics;
    const OrganisationId hall("hall-a");
    const MetricsLabels hall_labels{hall, PriorityClass::kInteractive};
    metrics.ObserveFirstToken(hall_labels, milliseconds(300));
    metrics.ObserveFirstToken(hall_labels, milliseconds(1'400));
    metrics.ObserveTokenGap(hall_labels, milliseconds(30));
    metrics.ObserveQueueWait(hall_labels, milliseconds(3));
    metrics.ObserveTokens(hall_labels, 3'000, 2'048, 100);
    const auto page = metrics.Render();
    const std::string labels = R"({class="interactive",organisation="hall-a")";
    const std::string lines[] = {
        "baobabrun_first_token_seconds_count" + labels + "} 2",
        "baobabrun_first_token_seconds_bucket" + labels + R"(,le="0.5"} 1)",
        "baobabrun_first_token_seconds_bucket" + labels + R"(,le="1.5"} 2)",
        "baobabrun_token_gap_seconds_bucket" + labels + R"(,le="0.037"} 1)",
        "baobabrun_queue_wait_seconds_count" + labels + "} 1",
        "baobabrun_prompt_tokens_sum" + labels + "} 3000",
        "baobabrun_cached_tokens_sum" + labels + "} 2048",
        "baobabrun_completion_tokens_sum" + labels + "} 100",
    };
    for (const auto& it : lines) {
      CPPUNIT_ASSERT_MESSAGE(it, Contains(page, it));
    }
  }

  void RefusalsAreCountedByReason() {
    Metrics metrics;
    const OrganisationId hall("hall-a");
    metrics.CountRefusal(hall, RefusalReason::kRateExceeded, false);
    metrics.CountRefusal(hall, RefusalReason::kRateExceeded, true);
    metrics.CountRefusal(OrganisationId(), RefusalReason::kQueueFull, false);
    const auto page = metrics.Render();
    const std::string lines[] = {
        R"(baobabrun_refusals_total{organisation="hall-a",reason="rate_exceeded"} 2)",
        R"(baobabrun_refusals_inside_rate_total{organisation="hall-a"} 1)",
        R"(baobabrun_refusals_total{organisation="open",reason="queue_full"} 1)",
    };
    for (const auto& it : lines) {
      CPPUNIT_ASSERT_MESSAGE(it, Contains(page, it));
    }
  }

  void OrganisationsBeyondTheCapShareALabel() {
    Metrics metrics({.max_organisations = 3});
    for (int i = 0; i < 100; ++i) {
      const OrganisationId name("o" + std::to_string(i));
      metrics.ObserveQueueWait({name, PriorityClass::kBatch}, seconds(1));
      metrics.CountRefusal(name, RefusalReason::kDeadline, false);
    }
    const auto page = metrics.Render();
    CPPUNIT_ASSERT(Contains(
        page,
        R"(baobabrun_refusals_total{organisation="other",reason="deadline"} 97)"));
    CPPUNIT_ASSERT(Contains(
        page,
        R"(baobabrun_queue_wait_seconds_count{class="batch",organisation="other"} 97)"));
    CPPUNIT_ASSERT(page.find("\"o3\"") == std::string::npos);
    CPPUNIT_ASSERT(std::count(page.begin(), page.end(), '\n') < 100);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

}  // namespace baobabrun
