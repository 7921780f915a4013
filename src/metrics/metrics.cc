// Implements Metrics with metric families of prometheus-cpp.
#include "metrics/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <map>
#include <mutex>
#include <set>
#include <tuple>

namespace baobabrun {
namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;
using Buckets = Histogram::BucketBoundaries;

constexpr char kOpenLabel[] = "open";
constexpr char kOtherLabel[] = "other";

// Bucket bounds in seconds. The service's targets, 1.5 s to the first token and
// 0.037 s between tokens, are bounds, so that a histogram shows how many
// requests meet them.
const Buckets kFirstTokenSeconds = {0.01, 0.025, 0.05, 0.1, 0.25, 0.5,
                                    1,    1.5,   2.5,  5,   10,   30};
const Buckets kTokenGapSeconds = {0.005, 0.01, 0.02, 0.037, 0.05,
                                  0.1,   0.25, 0.5,  1,     5};
const Buckets kQueueWaitSeconds = {0.001, 0.005, 0.01, 0.05, 0.1, 0.25,
                                   0.5,   1,     2,    5,    10};
const Buckets kTokens = {16,    64,    256,    1'024,  2'048,
                         4'096, 8'192, 16'384, 32'768, 131'072};

enum class Series {
  kFirstToken,
  kTokenGap,
  kQueueWait,
  kPromptTokens,
  kCachedTokens,
  kCompletionTokens,
};
constexpr std::size_t kSeries = 6;

double ToSeconds(Duration time) {
  return std::chrono::duration<double>(std::max(time, Duration::zero()))
      .count();
}

}  // namespace

class Metrics::Impl {
 public:
  explicit Impl(MetricsOptions options)
      : options_(options),
        refusals_(BuildCounter()
                      .Name("baobabrun_refusals_total")
                      .Help("Requests refused, by reason")
                      .Register(registry_)),
        inside_rate_(BuildCounter()
                         .Name("baobabrun_refusals_inside_rate_total")
                         .Help("Requests refused although the organisation "
                               "was inside its rate, as far as this VM knows")
                         .Register(registry_)),
        resources_(BuildGauge()
                       .Name("baobabrun_resource")
                       .Help("What the process holds, by resource")
                       .Register(registry_)) {
    AddFamily("baobabrun_first_token_seconds",
              "From a request's arrival to its first token");
    AddFamily("baobabrun_token_gap_seconds", "Between two tokens of a stream");
    AddFamily("baobabrun_queue_wait_seconds",
              "Wait for tokens of the rate and in the queue");
    AddFamily("baobabrun_prompt_tokens", "Prompt tokens of a request");
    AddFamily("baobabrun_cached_tokens",
              "Prompt tokens of a request found in a cache");
    AddFamily("baobabrun_completion_tokens", "Generated tokens of a request");
  }

  void Observe(Series series, const MetricsLabels& labels, double value) {
    FindHistogram(series, labels).Observe(value);
  }

  void CountRefusal(const OrganisationId& organisation,
                    RefusalReason reason,
                    bool inside_rate) {
    std::lock_guard lock(mutex_);
    const std::string label = LabelOf(organisation);
    // Add returns the existing counter if there is one with these labels.
    refusals_
        .Add({{"organisation", label},
              {"reason", std::string(RefusalEntryOf(reason).code)}})
        .Increment();
    if (inside_rate) {
      inside_rate_.Add({{"organisation", label}}).Increment();
    }
  }

  void SetResource(std::string_view resource, std::int64_t amount) {
    resources_.Add({{"resource", std::string(resource)}})
        .Set(static_cast<double>(amount));
  }

  std::string Render() const {
    return prometheus::TextSerializer().Serialize(registry_.Collect());
  }

 private:
  using Key = std::tuple<Series, PriorityClass, std::string>;

  void AddFamily(const char* name, const char* help) {
    families_[family_count_++] =
        &BuildHistogram().Name(name).Help(help).Register(registry_);
  }

  Histogram& FindHistogram(Series series, const MetricsLabels& labels) {
    std::lock_guard lock(mutex_);
    const std::string& label = LabelOf(labels.organisation);
    auto& found = histograms_[Key(series, labels.priority, label)];
    if (found == nullptr) {
      const auto priority =
          NameOf<PriorityClass>(PriorityClassNames(), labels.priority);
      found = &families_[static_cast<std::size_t>(series)]->Add(
          {{"organisation", label}, {"class", std::string(priority)}},
          BucketsOf(series));
    }
    return *found;
  }

  static const Buckets& BucketsOf(Series series) {
    switch (series) {
      case Series::kFirstToken:
        return kFirstTokenSeconds;
      case Series::kTokenGap:
        return kTokenGapSeconds;
      case Series::kQueueWait:
        return kQueueWaitSeconds;
      case Series::kPromptTokens:
      case Series::kCachedTokens:
      case Series::kCompletionTokens:
        break;
    }
    return kTokens;
  }

  // The caller must hold mutex_.
  std::string LabelOf(const OrganisationId& organisation) {
    if (organisation.empty()) {
      return kOpenLabel;
    }
    if (labelled_organisations_.contains(organisation)) {
      return organisation.value();
    }
    if (labelled_organisations_.size() >= options_.max_organisations) {
      return kOtherLabel;
    }
    labelled_organisations_.insert(organisation);
    return organisation.value();
  }

  const MetricsOptions options_;
  prometheus::Registry registry_;
  Family<Counter>& refusals_;
  Family<Counter>& inside_rate_;
  Family<Gauge>& resources_;
  std::array<Family<Histogram>*, kSeries> families_{};  // indexed by Series
  std::size_t family_count_ = 0;
  std::mutex mutex_;  // guards the members below
  std::set<OrganisationId>
      labelled_organisations_;            // at most options_.max_organisations
  std::map<Key, Histogram*> histograms_;  // owned by families_
};

Metrics::Metrics(MetricsOptions options)
    : impl_(std::make_unique<Impl>(options)) {}

Metrics::~Metrics() = default;

void Metrics::ObserveFirstToken(const MetricsLabels& labels, Duration time) {
  impl_->Observe(Series::kFirstToken, labels, ToSeconds(time));
}

void Metrics::ObserveTokenGap(const MetricsLabels& labels, Duration time) {
  impl_->Observe(Series::kTokenGap, labels, ToSeconds(time));
}

void Metrics::ObserveQueueWait(const MetricsLabels& labels, Duration time) {
  impl_->Observe(Series::kQueueWait, labels, ToSeconds(time));
}

void Metrics::ObserveTokens(const MetricsLabels& labels,
                            std::int64_t prompt_tokens,
                            std::int64_t cached_tokens,
                            std::int64_t completion_tokens) {
  impl_->Observe(Series::kPromptTokens, labels,
                 static_cast<double>(prompt_tokens));
  impl_->Observe(Series::kCachedTokens, labels,
                 static_cast<double>(cached_tokens));
  impl_->Observe(Series::kCompletionTokens, labels,
                 static_cast<double>(completion_tokens));
}

void Metrics::CountRefusal(const OrganisationId& organisation,
                           RefusalReason reason,
                           bool inside_rate) {
  impl_->CountRefusal(organisation, reason, inside_rate);
}

void Metrics::SetResource(std::string_view resource, std::int64_t amount) {
  impl_->SetResource(resource, amount);
}

std::string Metrics::Render() const {
  return impl_->Render();
}

}  // namespace baobabrun
