/// Encodes and decodes the frames of the simulator's protocol (PROTOCOL). Makes no decisions.
///
/// A request frame is its length, the clock and a batch of events, each for one balancer instance. A reply
/// frame is its length and the actions of the instances. Numbers are copied in the machine's byte order.
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

/// Longer frames are rejected.
inline constexpr size_t kMaxFrameBytes = size_t{1} << 28;

/// Starts an instance, in place of an earlier one with the same number.
struct StartInstanceEvent {
  uint64_t seed = 0;
  std::string settings;  ///< Lines of path=value (ParseSettings).
};
/// Ends an instance.
struct ExitEvent {};
/// Stores an endpoint table for later EndpointListEvents of any instance.
struct EndpointTableEvent {
  int table_number = 0;
  std::vector<Endpoint> entries;
};
/// Tells an instance its endpoints, by the number of a table that was sent before.
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

/// One event and the instance that it is for.
struct InstanceEvent {
  uint32_t instance = 0;  ///< Unused for EndpointTableEvent.
  std::variant<StartInstanceEvent, ExitEvent, EndpointTableEvent, EndpointListEvent, Request,
               ResponseStartedEvent, AttemptOutcome, ClientGoneEvent, TimerEvent, HealthCheckEvent,
               PeerMessageEvent, CounterResponse>
      body;
};

/// The content of one request frame.
struct EventBatch {
  double now = 0;  ///< The simulator's clock, in seconds.
  std::vector<InstanceEvent> events;
};

/// Parses one complete frame, including its length field.
/// @throws ProtocolError naming the field that is missing or invalid.
EventBatch ParseBatch(std::string_view frame);

/// Builds reply frames: Reset starts an empty one, the Append functions add to it, and Finish sets its
/// length.
class ReplyWriter {
 public:
  ReplyWriter();
  void Append(uint32_t instance, const Action& action);
  /// Reports that an instance threw an exception while it handled an event.
  void AppendInstanceError(uint32_t instance, std::string_view message);
  /// @return the complete frame, valid until the next Append or Reset.
  const std::string& Finish();
  void Reset();

 private:
  std::string bytes_;
};

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_SIMULATOR_PROTOCOL_CODEC_H_
