// Writes the histogram page: two SVG histograms for each organisation. The page
// refers to no other files.
#include <fmt/core.h>

#include <algorithm>
#include <array>

#include "load/report.h"

namespace baobabrun::load {
namespace {

constexpr int kWidth = 720;
constexpr int kHeight = 160;
constexpr int kLabelHeight = 18;
// The upper bounds of the buckets double from 125 us on. The last bucket holds
// all larger values.
constexpr std::int64_t kFirstBoundUs = 125;
constexpr std::size_t kBuckets = 20;
constexpr double kMicrosecondsPerMillisecond = 1000.0;

using Counts = std::array<std::int64_t, kBuckets>;

Counts CountBuckets(const Latencies& latencies) {
  Counts counts{};
  for (const auto us : latencies.microseconds) {
    std::size_t n = 0;
    for (auto bound = kFirstBoundUs; us > bound && n + 1 < kBuckets;
         bound *= 2) {
      ++n;
    }
    ++counts[n];
  }
  return counts;
}

std::string BoundLabel(std::size_t bucket) {
  const auto bound = kFirstBoundUs << bucket;
  return fmt::format("{:.4g}",
                     static_cast<double>(bound) / kMicrosecondsPerMillisecond);
}

std::string Bar(std::size_t bucket, std::int64_t count, std::int64_t highest) {
  const int width = kWidth / static_cast<int>(kBuckets);
  const int x = static_cast<int>(bucket) * width;
  const int height = static_cast<int>((kHeight - kLabelHeight) * count /
                                      std::max<std::int64_t>(highest, 1));
  return fmt::format(
      "<rect x='{}' y='{}' width='{}' height='{}' fill='#4a7'>"
      "<title>up to {} ms: {}</title></rect>"
      "<text x='{}' y='{}' font-size='9'>{}</text>\n",
      x, kHeight - kLabelHeight - height, width - 2, height, BoundLabel(bucket),
      count, x, kHeight - 4, BoundLabel(bucket));
}

std::string Histogram(const char* title, const Latencies& latencies) {
  const auto counts = CountBuckets(latencies);
  const auto highest = *std::max_element(counts.begin(), counts.end());
  std::string out = fmt::format(
      "<h3>{} ({} answers, buckets up to the given ms)</h3>\n"
      "<svg width='{}' height='{}'>\n",
      title, latencies.microseconds.size(), kWidth, kHeight);
  for (std::size_t n = 0; n < kBuckets; ++n) {
    out += Bar(n, counts[n], highest);
  }
  return out + "</svg>\n";
}

std::string Escaped(std::string_view text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '&':
        out += "&amp;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

}  // namespace

std::string ToHtml(const Report& report) {
  std::string out =
      "<!DOCTYPE html>\n<html><head><meta charset='utf-8'>"
      "<title>baobabrun load</title></head>\n<body>\n<pre>";
  out += Escaped(ToTable(report)) + "</pre>\n";
  for (const auto& [name, stats] : report.organisations) {
    out += fmt::format("<h2>{}</h2>\n", Escaped(name));
    out += Histogram("first text", stats.first_text);
    out += Histogram("whole answer", stats.end);
  }
  return out + "</body></html>\n";
}

}  // namespace baobabrun::load
