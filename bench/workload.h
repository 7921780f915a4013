// Generates a seeded stream of requests with nested prefixes. A prompt consists
// of the blocks of its organisation, those of a topic, those of a document, and
// a question that no other prompt contains. Topics and documents are drawn by
// Zipf's law, and the popular ones change at regular intervals.
#ifndef BENCH_WORKLOAD_H_
#define BENCH_WORKLOAD_H_

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/time.h"
#include "prefix/block_hash.h"
#include "requests/request.h"

namespace baobabrun::bench {

struct WorkloadOptions {
  double requests_per_second = 7;
  // Share of each organisation in all requests.
  std::vector<double> organisations = {0.4, 0.25, 0.15, 0.12, 0.08};
  std::size_t topics = 4;      // of each organisation
  std::size_t documents = 12;  // of each topic
  std::int32_t organisation_blocks = 1;
  std::int32_t topic_blocks = 1;
  std::int32_t document_blocks = 6;
  std::int32_t block_tokens = 2048;
  std::int64_t min_question_tokens = 100;
  std::int64_t max_question_tokens = 1500;
  std::int64_t min_answer_tokens = 40;
  std::int64_t max_answer_tokens = 160;
  double zipf = 0.9;  // Zipf exponent
  // Interval after which other topics and documents become popular.
  Duration popularity_interval = seconds(60);
  Duration deadline = seconds(30);
};

// A request and the data that the simulated engine needs to answer it.
struct GeneratedRequest {
  std::shared_ptr<Request> request;
  std::vector<BlockHash> blocks;
  std::int64_t answer_tokens = 1;
  std::size_t organisation = 0;
};

class Workload {
 public:
  Workload(WorkloadOptions options, std::uint64_t seed);

  // Returns a random time from one request to the next.
  Duration NextGap();
  GeneratedRequest Next(RequestId id, const std::string& weights, Instant now);
  std::size_t organisations() const { return options_.organisations.size(); }

 private:
  std::string TextOf(const std::string& name, std::int32_t blocks) const;
  std::size_t DrawRank(std::discrete_distribution<std::size_t>& ranks,
                       std::size_t shift);

  const WorkloadOptions options_;
  std::mt19937_64 random_;
  std::discrete_distribution<std::size_t> organisations_;
  std::discrete_distribution<std::size_t> topics_;
  std::discrete_distribution<std::size_t> documents_;
  std::uint64_t number_ = 0;
};

}  // namespace baobabrun::bench

#endif  // BENCH_WORKLOAD_H_
