// A seeded stream of requests with nested prefixes: each organisation has its
// own first blocks, below them topics, below these documents, then a question
// that nobody shares. Topics and documents are drawn by Zipf's law, and which
// ones are hot changes from time to time.
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
  // Shares of the organisations in all requests.
  std::vector<double> organisations = {0.4, 0.25, 0.15, 0.12, 0.08};
  std::size_t topics = 4;      // of an organisation
  std::size_t documents = 12;  // of a topic
  std::int32_t organisation_blocks = 1;
  std::int32_t topic_blocks = 1;
  std::int32_t document_blocks = 6;
  std::int32_t block_tokens = 2048;
  std::int64_t least_question = 100;  // tokens
  std::int64_t most_question = 1500;
  std::int64_t least_answer = 40;
  std::int64_t most_answer = 160;
  double zipf = 0.9;
  Duration hot_shift = seconds(60);  // other topics and documents become hot
  Duration deadline = seconds(30);
};

// A request and what the engine will make of it.
struct Job {
  std::shared_ptr<Request> request;
  std::vector<BlockHash> blocks;
  std::int64_t answer_tokens = 1;
  std::size_t organisation = 0;
};

class Workload {
 public:
  Workload(WorkloadOptions options, std::uint64_t seed);

  // Time from one request to the next.
  Duration NextGap();
  Job Next(RequestId id, const std::string& weights, Instant now);
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
