// Draws Poisson arrivals and Zipf-distributed prefixes.
#include "load/schedule.h"

#include <fmt/core.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "base/hash.h"

namespace baobabrun::load {
namespace {

constexpr double kPermille = 1000.0;
constexpr std::uint64_t kPercent = 100;

// Returns the distribution of the texts of one level: text n, counted from 0,
// has the weight 1 / (n + 1)^exponent.
std::discrete_distribution<std::int32_t> ZipfDistribution(
    std::int32_t size,
    std::int32_t permille) {
  std::vector<double> weights;
  for (std::int32_t n = 1; n <= size; ++n) {
    weights.push_back(std::pow(n, -permille / kPermille));
  }
  return {weights.begin(), weights.end()};
}

PlannedKind DrawKind(const OrganisationLoad& load, std::mt19937_64& random) {
  if (random() % kPercent < static_cast<std::uint64_t>(load.service_percent)) {
    return PlannedKind::kService;
  }
  const bool stream =
      random() % kPercent < static_cast<std::uint64_t>(load.stream_percent);
  return stream ? PlannedKind::kChatStream : PlannedKind::kCompletion;
}

// Appends `n` bytes of text that depend only on `id`.
void AppendText(std::uint64_t id, std::int64_t n, std::string* out) {
  const auto end = out->size() + static_cast<std::size_t>(n);
  while (out->size() < end) {
    id = FastHash(fmt::format("{:016x}", id));
    out->append(fmt::format("{:016x} ", id));
  }
  out->resize(end);
}

}  // namespace

std::vector<PlannedRequest> MakeSchedule(const Mix& mix, std::uint64_t seed) {
  std::vector<PlannedRequest> out;
  const auto entries = std::max<std::size_t>(1, mix.entries.size());
  std::vector<std::discrete_distribution<std::int32_t>> levels;
  for (const auto size : mix.prefixes.fan_out) {
    levels.push_back(ZipfDistribution(size, mix.prefixes.zipf_permille));
  }
  for (std::size_t n = 0; n < mix.organisations.size(); ++n) {
    const auto& load = mix.organisations[n];
    // Each organisation has its own generator, so that a change to one
    // organisation doesn't change the requests of the others.
    std::mt19937_64 random(FastHash(load.organisation, seed));
    std::exponential_distribution<double> gap(
        static_cast<double>(load.requests_per_second));
    std::chrono::duration<double> at(gap(random));
    for (; at < mix.duration;
         at += std::chrono::duration<double>(gap(random))) {
      PlannedRequest planned;
      planned.at = std::chrono::duration_cast<Duration>(at);
      planned.organisation = n;
      planned.entry = random() % entries;
      planned.kind = DrawKind(load, random);
      planned.tag =
          fmt::format("{}-{}-{}", load.organisation, seed, out.size());
      for (auto& level : levels) {
        planned.prefix.push_back(level(random));
      }
      out.push_back(std::move(planned));
    }
  }
  std::stable_sort(
      out.begin(), out.end(),
      [](const auto& left, const auto& right) { return left.at < right.at; });
  return out;
}

std::string PromptOf(const Mix& mix, const PlannedRequest& planned) {
  const auto& load = mix.organisations[planned.organisation];
  std::string out;
  std::uint64_t id = FastHash(load.organisation);
  for (const auto choice : planned.prefix) {
    id = FastHash(std::to_string(choice), id);
    AppendText(id, mix.prefixes.level_bytes, &out);
  }
  const auto padding_bytes =
      load.prompt_bytes - static_cast<std::int64_t>(out.size());
  AppendText(FastHash(planned.tag), std::max<std::int64_t>(0, padding_bytes),
             &out);
  out += fmt::format(" {} [answer-tokens={}]", planned.tag, load.answer_tokens);
  return out;
}

}  // namespace baobabrun::load
