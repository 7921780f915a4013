// Draws random requests.
#include "workload.h"

#include <fmt/core.h>

#include <cmath>

namespace baobabrun::bench {
namespace {

std::discrete_distribution<std::size_t> Zipf(std::size_t n, double exponent) {
  std::vector<double> weights;
  for (std::size_t rank = 1; rank <= n; ++rank) {
    weights.push_back(1.0 / std::pow(static_cast<double>(rank), exponent));
  }
  return {weights.begin(), weights.end()};
}

}  // namespace

Workload::Workload(WorkloadOptions options, std::uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      organisations_(options_.organisations.begin(),
                     options_.organisations.end()),
      topics_(Zipf(options_.topics, options_.zipf)),
      documents_(Zipf(options_.documents, options_.zipf)) {}

Duration Workload::NextGap() {
  std::exponential_distribution<double> gap(options_.requests_per_second);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(gap(random_)));
}

std::string Workload::TextOf(const std::string& name,
                             std::int32_t blocks) const {
  const auto bytes = static_cast<std::size_t>(blocks) *
                     static_cast<std::size_t>(options_.block_tokens) *
                     kBytesPerToken;
  std::string out = name;
  out.resize(bytes, '.');
  return out;
}

std::size_t Workload::DrawRank(std::discrete_distribution<std::size_t>& ranks,
                               std::size_t shift) {
  // Each shift moves all ranks by kStep, so that other topics or documents get
  // the high weights. The step is odd, so that successive shifts visit all
  // ranks.
  constexpr std::size_t kStep = 5;
  const std::size_t n = ranks.max() + 1;
  return (ranks(random_) + shift * kStep) % n;
}

GeneratedRequest Workload::Next(RequestId id,
                                const std::string& weights,
                                Instant now) {
  const auto shift = static_cast<std::size_t>(now.time_since_epoch() /
                                              options_.popularity_interval);
  GeneratedRequest out;
  out.organisation = organisations_(random_);
  const auto topic = DrawRank(topics_, shift);
  const auto document = DrawRank(documents_, shift);
  std::uniform_int_distribution<std::int64_t> question(
      options_.min_question_tokens, options_.max_question_tokens);
  std::uniform_int_distribution<std::int64_t> answer(
      options_.min_answer_tokens, options_.max_answer_tokens);
  out.answer_tokens = answer(random_);

  const auto name = fmt::format("o{}", out.organisation);
  auto text = TextOf(name, options_.organisation_blocks);
  text += TextOf(fmt::format("t{}", topic), options_.topic_blocks);
  text += TextOf(fmt::format("d{}", document), options_.document_blocks);
  auto last = fmt::format("q{}", ++number_);
  last.resize(static_cast<std::size_t>(question(random_)) * kBytesPerToken,
              '.');
  text += last;

  auto request = std::make_shared<Request>();
  request->caller.id = id;
  request->caller.kind = RequestKind::kChat;
  request->caller.call.model = ModelId("tutor");
  request->caller.call.stream = true;
  request->caller.arrived = now;
  request->caller.deadline = now + options_.deadline;
  request->organisation = OrganisationId(name);
  request->weights = weights;
  request->block_tokens = options_.block_tokens;
  request->prompt_tokens =
      static_cast<std::int64_t>(text.size() / kBytesPerToken);
  request->max_tokens = options_.max_answer_tokens;
  out.blocks = HashBlocks(
      text, BlockSeed(request->organisation, ModelId("tutor"), "", weights),
      static_cast<std::size_t>(options_.block_tokens) * kBytesPerToken);
  request->caller.call.prompt =
      std::make_shared<const std::string>(std::move(text));
  out.request = std::move(request);
  return out;
}

}  // namespace baobabrun::bench
