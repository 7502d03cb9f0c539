// Encodes and decodes the frames of the simulator's protocol. No decisions.
#ifndef LEMONCHUTE_SIMULATOR_PROTOCOL_CODEC_H_
#define LEMONCHUTE_SIMULATOR_PROTOCOL_CODEC_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "policy/balancer.h"
#include "policy/protocol_error.h"

namespace lemonchute::policy {

inline constexpr size_t kMaxFrameBytes = size_t{1} << 28;

struct StartInstanceEvent {
  uint64_t seed = 0;
  std::string settings;
};
struct ExitEvent {};
struct EndpointTableEvent {
  int table_number = 0;
  std::vector<Endpoint> entries;
};
struct EndpointListEvent {
  EndpointListKind kind = EndpointListKind::kSnapshot;
  uint64_t version = 0;
  int table_number = 0;
};
struct ResponseStartedEvent {
  uint32_t request = 0;
};
struct ClientGoneEvent {
  uint32_t request = 0;
};
struct TimerEvent {
  uint64_t tag = 0;
};
struct HealthCheckEvent {
  uint32_t backend = 0;
  double duration_s = 0;
  AttemptResult result = AttemptResult::kOk;
  std::vector<float> load;
};
struct PeerMessageEvent {
  int sender = 0;
  std::string bytes;
};

struct InstanceEvent {
  uint32_t instance = 0;  // of no meaning for a table
  std::variant<StartInstanceEvent, ExitEvent, EndpointTableEvent, EndpointListEvent, Request,
               ResponseStartedEvent, AttemptOutcome, ClientGoneEvent, TimerEvent, HealthCheckEvent,
               PeerMessageEvent, CounterResponse>
      body;
};

struct EventBatch {
  double now = 0;
  std::vector<InstanceEvent> events;
};

// Parses one whole frame, length field included.
EventBatch ParseBatch(std::string_view frame);

// Reply frames: begin with an empty body, append actions, then Finish puts the length in front.
class ReplyWriter {
 public:
  ReplyWriter();
  void Append(uint32_t instance, const Action& action);
  void AppendInstanceError(uint32_t instance, std::string_view message);
  const std::string& Finish();
  void Reset();

 private:
  std::string bytes_;
};

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_SIMULATOR_PROTOCOL_CODEC_H_
