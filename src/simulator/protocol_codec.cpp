#include "simulator/protocol_codec.h"

#include <cmath>
#include <cstring>
#include <string>
#include <utility>

namespace lemonchute::policy {
namespace {

static_assert(sizeof(float) == 4 && sizeof(double) == 8);

// Reads the fields of a frame in order. Throws ProtocolError naming the field that the frame ends in.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}

  template <typename T>
  T Read(const char* field) {
    if (bytes_.size() - position_ < sizeof(T)) {
      throw ProtocolError(std::string("frame ends inside ") + field);
    }
    T value;
    std::memcpy(&value, bytes_.data() + position_, sizeof(T));
    position_ += sizeof(T);
    return value;
  }

  std::string_view ReadBytes(size_t size, const char* field) {
    if (bytes_.size() - position_ < size) {
      throw ProtocolError(std::string("frame ends inside ") + field);
    }
    std::string_view part = bytes_.substr(position_, size);
    position_ += size;
    return part;
  }

  std::vector<float> ReadLoadReport() {
    size_t count = Read<uint8_t>("load report length");
    std::vector<float> load;
    load.reserve(count);
    for (size_t i = 0; i < count; ++i) load.push_back(Read<float>("load report"));
    return load;
  }

  size_t remaining() const { return bytes_.size() - position_; }

 private:
  std::string_view bytes_;
  size_t position_ = 0;
};

AttemptResult ResultFromCode(uint8_t code) {
  switch (code) {
    case 0: return AttemptResult::kOk;
    case 255: return AttemptResult::kError;
    case 254: return AttemptResult::kOverloaded;
    case 253: return AttemptResult::kTimeout;
    case 252: return AttemptResult::kConnectFailed;
    case 251: return AttemptResult::kReset;
    case 250: return AttemptResult::kCancelled;
    case 249: return AttemptResult::kNotSent;
    default: throw ProtocolError("unknown outcome code " + std::to_string(code));
  }
}

Endpoint ReadEndpoint(Reader* in) {
  Endpoint endpoint;
  endpoint.kind = in->Read<uint8_t>("entry kind");
  uint8_t mode = in->Read<uint8_t>("entry mode");
  if (mode > 2) throw ProtocolError("unknown backend mode " + std::to_string(mode));
  endpoint.state = mode == 1   ? EndpointState::kReady
                   : mode == 2 ? EndpointState::kDraining
                               : EndpointState::kRemoved;
  endpoint.zone = in->Read<uint16_t>("entry zone");
  endpoint.id = in->Read<uint32_t>("entry backend");
  endpoint.cell = in->Read<uint16_t>("entry cell");
  endpoint.weight = in->Read<float>("entry weight");
  endpoint.started_s = in->Read<double>("entry start time");
  return endpoint;
}

// Event codes and layouts are those of the protocol specification (PROTOCOL). Fields that the balancer does
// not use are read and dropped.
InstanceEvent ReadEvent(Reader* in) {
  uint16_t code = in->Read<uint16_t>("event code");
  InstanceEvent event;
  if (code == 1110) {
    EndpointTableEvent table;
    table.table_number = in->Read<uint8_t>("table number");
    if (table.table_number > 15)
      throw ProtocolError("table number " + std::to_string(table.table_number) + " is above 15");
    uint32_t entry_count = in->Read<uint32_t>("table length");
    if (entry_count > in->remaining() / 22) throw ProtocolError("table holds fewer entries than it says");
    table.entries.reserve(entry_count);
    for (uint32_t i = 0; i < entry_count; ++i) table.entries.push_back(ReadEndpoint(in));
    event.body = std::move(table);
    return event;
  }
  if (code < 1000 || code > 1100 || code % 10 != 0) {
    throw ProtocolError("unknown event code " + std::to_string(code));
  }
  event.instance = in->Read<uint32_t>("instance");
  switch (code) {
    case 1000: {
      StartInstanceEvent start;
      start.seed = in->Read<uint64_t>("seed");
      uint32_t settings_size = in->Read<uint32_t>("settings length");
      start.settings = std::string(in->ReadBytes(settings_size, "settings"));
      event.body = std::move(start);
      break;
    }
    case 1010: {
      EndpointListEvent list;
      uint8_t scope = in->Read<uint8_t>("view scope");
      if (scope > 3) throw ProtocolError("unknown view scope " + std::to_string(scope));
      list.kind = static_cast<EndpointListKind>(scope);
      list.version = in->Read<uint64_t>("view version");
      list.table_number = in->Read<uint8_t>("view table number");
      event.body = list;
      break;
    }
    case 1020: {
      Request request;
      request.id = in->Read<uint32_t>("request id");
      request.class_index = in->Read<uint8_t>("request class");
      request.plan_index = in->Read<uint16_t>("request plan");
      request.customer_id = in->Read<uint64_t>("request customer");
      request.time_left_s = in->Read<double>("request time left");
      request.units = in->Read<float>("request units");
      request.entry_gateways = in->Read<float>("request entries");
      in->Read<float>("request first gateway");
      in->Read<uint16_t>("request attributes");
      event.body = request;
      break;
    }
    case 1030: {
      ResponseStartedEvent started;
      started.request = in->Read<uint32_t>("request id");
      in->Read<uint8_t>("attempt");
      in->Read<uint32_t>("backend");
      in->Read<double>("time taken");
      event.body = started;
      break;
    }
    case 1040: {
      AttemptOutcome outcome;
      outcome.request_id = in->Read<uint32_t>("request id");
      in->Read<uint16_t>("fleet use");
      outcome.attempt_index = in->Read<uint8_t>("attempt");
      outcome.duration_s = in->Read<double>("time taken");
      outcome.result = ResultFromCode(in->Read<uint8_t>("outcome"));
      outcome.request_finished = in->Read<uint8_t>("done flag") != 0;
      outcome.backend_id = in->Read<uint32_t>("backend");
      outcome.actual_units = in->Read<uint16_t>("true units");
      in->ReadLoadReport();
      event.body = outcome;
      break;
    }
    case 1050: event.body = ClientGoneEvent{in->Read<uint32_t>("request id")}; break;
    case 1060: event.body = TimerEvent{in->Read<uint64_t>("timer tag")}; break;
    case 1070: {
      HealthCheckEvent health_check;
      health_check.duration_s = in->Read<double>("time taken");
      health_check.result = ResultFromCode(in->Read<uint8_t>("probe result"));
      health_check.backend = in->Read<uint32_t>("backend");
      health_check.load = in->ReadLoadReport();
      event.body = std::move(health_check);
      break;
    }
    case 1080: {
      PeerMessageEvent message;
      message.sender = in->Read<uint16_t>("sender");
      uint16_t message_size = in->Read<uint16_t>("message length");
      message.bytes = std::string(in->ReadBytes(message_size, "message"));
      event.body = std::move(message);
      break;
    }
    case 1090: event.body = ExitEvent{}; break;
    case 1100: {
      CounterResponse response;
      in->Read<double>("time taken");
      response.total = in->Read<float>("count total");
      response.result = ResultFromCode(in->Read<uint8_t>("count result"));
      response.counter_name = in->Read<uint64_t>("count name");
      event.body = response;
      break;
    }
    default: throw ProtocolError("unknown event code " + std::to_string(code));
  }
  return event;
}

template <typename T>
void Put(std::string* out, T value) {
  char bytes[sizeof(T)];
  std::memcpy(bytes, &value, sizeof(T));
  out->append(bytes, sizeof(T));
}

void PutText(std::string* out, uint16_t code, uint32_t instance, std::string_view text) {
  text = text.substr(0, 65535);
  Put<uint16_t>(out, code);
  Put<uint32_t>(out, instance);
  Put<uint16_t>(out, static_cast<uint16_t>(text.size()));
  out->append(text);
}

}  // namespace

EventBatch ParseBatch(std::string_view frame) {
  Reader in(frame);
  uint32_t size = in.Read<uint32_t>("frame length");
  if (size != frame.size()) throw ProtocolError("frame length does not match its bytes");
  EventBatch batch;
  batch.now = in.Read<double>("clock");
  if (!std::isfinite(batch.now)) throw ProtocolError("clock is not a number");
  uint32_t records = in.Read<uint32_t>("record count");
  if (records > in.remaining() / 6) throw ProtocolError("frame holds fewer records than it says");
  batch.events.reserve(records);
  for (uint32_t i = 0; i < records; ++i) batch.events.push_back(ReadEvent(&in));
  if (in.remaining() != 0) throw ProtocolError("frame has bytes after its last record");
  return batch;
}

ReplyWriter::ReplyWriter() { Reset(); }

void ReplyWriter::Reset() { bytes_.assign(4, '\0'); }

const std::string& ReplyWriter::Finish() {
  uint32_t size = static_cast<uint32_t>(bytes_.size());
  std::memcpy(bytes_.data(), &size, sizeof(size));
  return bytes_;
}

void ReplyWriter::AppendInstanceError(uint32_t instance, std::string_view message) {
  PutText(&bytes_, 1120, instance, message);
}

void ReplyWriter::Append(uint32_t instance, const Action& action) {
  auto put_header = [&](uint16_t code) {
    Put<uint16_t>(&bytes_, code);
    Put<uint32_t>(&bytes_, instance);
  };
  switch (action.kind) {
    case ActionKind::kSendAttempt:
      put_header(1050);
      Put<uint32_t>(&bytes_, action.request_id);
      Put<uint32_t>(&bytes_, action.backend_id);
      Put<double>(&bytes_, action.duration_s);
      break;
    case ActionKind::kCancelAttempt:
      put_header(1060);
      Put<uint32_t>(&bytes_, action.request_id);
      Put<uint8_t>(&bytes_, static_cast<uint8_t>(action.attempt_index));
      break;
    case ActionKind::kReject:
      put_header(1070);
      Put<uint32_t>(&bytes_, action.request_id);
      Put<double>(&bytes_, action.duration_s);
      break;
    case ActionKind::kFail:
      put_header(1000);
      Put<uint32_t>(&bytes_, action.request_id);
      break;
    case ActionKind::kStartTimer:
      put_header(1030);
      Put<double>(&bytes_, action.duration_s);
      Put<uint64_t>(&bytes_, action.tag);
      break;
    case ActionKind::kCallCounter:
      put_header(1100);
      Put<uint64_t>(&bytes_, action.tag);
      Put<float>(&bytes_, static_cast<float>(action.counter_delta));
      Put<double>(&bytes_, action.duration_s);
      break;
    case ActionKind::kPollEndpoints:
      put_header(1040);
      Put<uint8_t>(&bytes_, 1);
      break;
    case ActionKind::kLog: PutText(&bytes_, 1020, instance, action.text); break;
  }
}

}  // namespace lemonchute::policy
