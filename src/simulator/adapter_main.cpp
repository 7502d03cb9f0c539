// Connects the decision module to a simulator: hosts one Balancer for each instance and speaks the
// simulator's protocol on standard input and output.
#include <cstdio>
#include <cstring>
#include <exception>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "config/settings_parser.h"
#include "policy/balancer.h"
#include "simulator/protocol_codec.h"

namespace lemonchute::policy {
namespace {

// @return false at the end of input.
// @throws ProtocolError if the input ends inside a frame or the frame's length is invalid.
bool ReadFrame(std::FILE* in, std::string* frame) {
  frame->resize(4);
  size_t bytes_read = std::fread(frame->data(), 1, 4, in);
  if (bytes_read == 0) return false;
  if (bytes_read < 4) throw ProtocolError("input ends inside a frame length");
  uint32_t size;
  std::memcpy(&size, frame->data(), sizeof(size));
  if (size < 16) throw ProtocolError("frame length " + std::to_string(size) + " is below its header");
  if (size > kMaxFrameBytes) throw ProtocolError("frame length " + std::to_string(size) + " is too large");
  frame->resize(size);
  if (std::fread(frame->data() + 4, 1, size - 4, in) != size - 4)
    throw ProtocolError("input ends inside a frame");
  return true;
}

// Runs the instances: replies to each frame of events with a frame of their actions.
class Adapter {
 public:
  void Run(std::FILE* in, std::FILE* out) {
    std::string frame;
    while (ReadFrame(in, &frame)) {
      EventBatch batch = ParseBatch(frame);
      reply_.Reset();
      for (InstanceEvent& event : batch.events) HandleEvent(batch.now, &event);
      const std::string& bytes = reply_.Finish();
      if (std::fwrite(bytes.data(), 1, bytes.size(), out) != bytes.size() || std::fflush(out) != 0) {
        throw ProtocolError("cannot write the reply");
      }
    }
  }

 private:
  void HandleEvent(double now, InstanceEvent* event) {
    if (auto* table = std::get_if<EndpointTableEvent>(&event->body)) {
      tables_[table->table_number] = std::move(table->entries);
      return;
    }
    const std::vector<Endpoint>* entries = &no_endpoints_;
    if (auto* list = std::get_if<EndpointListEvent>(&event->body);
        list != nullptr && list->kind != EndpointListKind::kFailed) {
      if (list->table_number > 15 || !tables_[list->table_number].has_value()) {
        throw ProtocolError("view names table " + std::to_string(list->table_number) +
                            ", which was never sent");
      }
      entries = &*tables_[list->table_number];
    }
    actions_.clear();
    // A ProtocolError ends the program. Any other exception is reported as this instance's error.
    try {
      DispatchToInstance(now, event, *entries);
    } catch (const ProtocolError&) {
      throw;
    } catch (const std::exception& error) {
      reply_.AppendInstanceError(event->instance, error.what());
      return;
    }
    for (const Action& action : actions_) reply_.Append(event->instance, action);
  }

  // The decision module has no use for health checks and peer messages, so they are dropped.
  void DispatchToInstance(double now, InstanceEvent* event, const std::vector<Endpoint>& entries) {
    if (auto* start = std::get_if<StartInstanceEvent>(&event->body)) {
      instances_[event->instance] =
          std::make_unique<Balancer>(ParseSettings(start->settings), start->seed, now, &actions_);
      return;
    }
    if (std::holds_alternative<ExitEvent>(event->body)) {
      instances_.erase(event->instance);
      return;
    }
    auto instance = instances_.find(event->instance);
    if (instance == instances_.end()) return;  // an event for an instance that has ended
    Balancer& balancer = *instance->second;
    if (auto* list = std::get_if<EndpointListEvent>(&event->body)) {
      balancer.OnEndpointList(now, list->kind, entries, &actions_);
    } else if (auto* request = std::get_if<Request>(&event->body)) {
      balancer.OnRequest(now, *request, &actions_);
    } else if (auto* outcome = std::get_if<AttemptOutcome>(&event->body)) {
      balancer.OnAttemptOutcome(now, *outcome, &actions_);
    } else if (auto* started = std::get_if<ResponseStartedEvent>(&event->body)) {
      balancer.OnResponseStarted(now, started->request, -1, &actions_);
    } else if (auto* client_gone = std::get_if<ClientGoneEvent>(&event->body)) {
      balancer.OnClientGone(now, client_gone->request, &actions_);
    } else if (auto* timer = std::get_if<TimerEvent>(&event->body)) {
      balancer.OnTimer(now, timer->tag, &actions_);
    } else if (auto* counter_response = std::get_if<CounterResponse>(&event->body)) {
      balancer.OnCounterResponse(now, *counter_response, &actions_);
    }
  }

  std::array<std::optional<std::vector<Endpoint>>, 16> tables_;
  const std::vector<Endpoint> no_endpoints_;
  std::map<uint32_t, std::unique_ptr<Balancer>> instances_;
  Actions actions_;
  ReplyWriter reply_;
};

}  // namespace
}  // namespace lemonchute::policy

int main() {
  try {
    lemonchute::policy::Adapter().Run(stdin, stdout);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "lemonchute_adapter: %s\n", error.what());
    return 1;
  }
  return 0;
}
