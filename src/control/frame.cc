// Writes and checks frames.
#include "control/frame.h"

#include <fmt/format.h>

#include <cstring>
#include <optional>

#include "base/hash.h"
#include "control/control_error.h"

namespace baobabrun {
namespace {

constexpr std::uint32_t kMagic = 0x52424f42;

// Stored in the machine's byte order, as a file isn't moved between machines.
struct FrameHeader {
  std::uint32_t magic = kMagic;
  std::uint32_t length = 0;
  std::uint64_t synced = 0;
  std::uint64_t checksum = 0;
};
static_assert(sizeof(FrameHeader) == 24);

struct Frame {
  std::uint64_t synced = 0;
  std::string_view payload;
};

// Also covers `length` and `synced`, which are part of the hash seed.
std::uint64_t Checksum(std::string_view payload,
                       std::uint32_t length,
                       std::uint64_t synced) {
  constexpr std::uint64_t kMix = 0x9e3779b97f4a7c15;
  return FastHash(payload, (synced ^ length) * kMix);
}

// Returns nullopt if there is no complete and valid frame at `offset`.
std::optional<Frame> FrameAt(std::string_view bytes, std::size_t offset) {
  FrameHeader header;
  if (bytes.size() - offset < sizeof(header)) {
    return std::nullopt;
  }
  std::memcpy(&header, bytes.data() + offset, sizeof(header));
  const auto rest = bytes.substr(offset + sizeof(header));
  if (header.magic != kMagic || header.length > rest.size()) {
    return std::nullopt;
  }
  const auto payload = rest.substr(0, header.length);
  if (Checksum(payload, header.length, header.synced) != header.checksum) {
    return std::nullopt;
  }
  return Frame{header.synced, payload};
}

// Returns whether a later frame shows that the bytes at `offset` were durable.
bool WasDurable(std::string_view bytes, std::size_t offset) {
  for (std::size_t it = offset + 1; it < bytes.size(); ++it) {
    const auto frame = FrameAt(bytes, it);
    if (frame && frame->synced > offset) {
      return true;
    }
  }
  return false;
}

}  // namespace

void AppendFrame(std::string_view payload,
                 std::uint64_t synced,
                 std::string* out) {
  FrameHeader header;
  header.length = static_cast<std::uint32_t>(payload.size());
  header.synced = synced;
  header.checksum = Checksum(payload, header.length, synced);
  char buf[sizeof(header)];
  std::memcpy(buf, &header, sizeof(header));
  out->append(buf, sizeof(buf));
  out->append(payload);
}

Result<std::vector<std::string_view>> ReadFrames(std::string_view bytes,
                                                 std::string_view file) {
  std::vector<std::string_view> payloads;
  std::size_t offset = 0;
  while (offset < bytes.size()) {
    const auto frame = FrameAt(bytes, offset);
    if (!frame) {
      if (WasDurable(bytes, offset)) {
        return Error{
            ControlError::kCorrupt,
            fmt::format("file {} is damaged at offset {}", file, offset)};
      }
      break;
    }
    if (!frame->payload.empty()) {
      payloads.push_back(frame->payload);
    }
    offset += sizeof(FrameHeader) + frame->payload.size();
  }
  return payloads;
}

}  // namespace baobabrun
