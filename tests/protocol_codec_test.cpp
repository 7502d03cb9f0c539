// Tests of the simulator protocol's codec, the settings parser, and the adapter's exit codes and error texts.
#include "simulator/protocol_codec.h"

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>

#include "config/settings_parser.h"

namespace lemonchute::policy {
namespace {

// Characters other than hex digits are ignored.
std::string BytesFromHex(const char* text) {
  std::string out;
  int high = -1;
  for (const char* p = text; *p != '\0'; ++p) {
    int digit = *p >= '0' && *p <= '9' ? *p - '0' : *p >= 'a' && *p <= 'f' ? *p - 'a' + 10 : -1;
    if (digit < 0) continue;
    if (high < 0) {
      high = digit;
    } else {
      out.push_back(static_cast<char>(high * 16 + digit));
      high = -1;
    }
  }
  return out;
}

// Puts the frame header in front of `count` records.
std::string Frame(const std::string& records, uint32_t count) {
  std::string out(16, '\0');
  uint32_t size = static_cast<uint32_t>(16 + records.size());
  double now = 18.5;
  std::memcpy(out.data(), &size, 4);
  std::memcpy(out.data() + 4, &now, 8);
  std::memcpy(out.data() + 12, &count, 4);
  return out + records;
}

// @return the error text, or an empty one if the frame is valid.
std::string ParseBatchError(const std::string& frame) {
  try {
    ParseBatch(frame);
  } catch (const ProtocolError& error) {
    return error.what();
  }
  return "";
}

TEST(ProtocolCodec, ParsesAnEmptyBatchAndWritesAnEmptyReply) {
  EventBatch batch = ParseBatch(BytesFromHex("10000000 508d976e12d32040 00000000"));
  EXPECT_NEAR(batch.now, 8.412, 1e-3);
  EXPECT_TRUE(batch.events.empty());
  ReplyWriter reply;
  EXPECT_EQ(reply.Finish(), BytesFromHex("04000000"));
}

TEST(ProtocolCodec, ParsesABatchOfTwoInstancesAndWritesItsReply) {
  EventBatch batch = ParseBatch(BytesFromHex(
      "53000000 508d976e12d32040 03000000"
      "fc03 03000000 c4913a5d 00 0000 640ad2557c3bf091 b81e85eb51b8ce3f 00000040 00004040 0000803f 0100"
      "2404 03000000 4d00000000000000 1a04 05000000 192b6f0e"));
  ASSERT_EQ(batch.events.size(), 3u);
  const Request& request = std::get<Request>(batch.events[0].body);
  EXPECT_EQ(batch.events[0].instance, 3u);
  EXPECT_EQ(request.id, 0x5d3a91c4u);
  EXPECT_EQ(request.customer_id, 0x91f03b7c55d20a64ULL);
  EXPECT_NEAR(request.time_left_s, 0.24, 1e-9);
  EXPECT_EQ(request.units, 2);
  EXPECT_EQ(request.entry_gateways, 3);
  EXPECT_EQ(std::get<TimerEvent>(batch.events[1].body).tag, 77u);
  EXPECT_EQ(std::get<ClientGoneEvent>(batch.events[2].body).request, 0x0e6f2b19u);
  EXPECT_EQ(batch.events[2].instance, 5u);

  ReplyWriter reply;
  Action send;
  send.kind = ActionKind::kSendAttempt;
  send.request_id = 0x5d3a91c4;
  send.backend_id = 0x03124a07;
  send.duration_s = 0.08;
  reply.Append(3, send);
  Action timer;
  timer.kind = ActionKind::kStartTimer;
  timer.duration_s = 0.5;
  timer.tag = 77;
  reply.Append(3, timer);
  Action log;
  log.text = "two servers known";
  reply.Append(5, log);
  std::string expected = BytesFromHex(
      "49000000 1a04 03000000 c4913a5d 074a1203 7b14ae47e17ab43f 0604 03000000 000000000000e03f"
      "4d00000000000000 fc03 05000000 1100 74776f2073657276657273206b6e6f776e");
  EXPECT_EQ(reply.Finish(), expected);
}

TEST(ProtocolCodec, ParsesAnEndpointTableAndAListThatNamesIt) {
  EventBatch batch = ParseBatch(Frame(
      BytesFromHex("5604 00 02000000 00 01 0000 074a1203 0000 0000803f 0000000000000000"
                   "00 01 0100 f211902c 0000 0000c03f 6666666666661840 f203 03000000 02 2900000000000000 00"),
      2));
  const EndpointTableEvent& table = std::get<EndpointTableEvent>(batch.events[0].body);
  ASSERT_EQ(table.entries.size(), 2u);
  EXPECT_EQ(table.entries[1].zone, 1);
  EXPECT_EQ(table.entries[1].state, EndpointState::kReady);
  EXPECT_NEAR(table.entries[1].started_s, 6.1, 1e-9);
  EXPECT_EQ(table.entries[1].weight, 1.5);
  const EndpointListEvent& list = std::get<EndpointListEvent>(batch.events[1].body);
  EXPECT_EQ(list.kind, EndpointListKind::kCached);
  EXPECT_EQ(list.version, 41u);
}

TEST(ProtocolCodec, ParsesTheOtherInstanceEvents) {
  EventBatch batch = ParseBatch(Frame(
      BytesFromHex("1004 03000000 c4913a5d 5600 00 8b6ce7fba9f1923f 00 01 074a1203 0300 00"
                   "4c04 03000000 22fdf675e09c613f 00001842 00 90f6890000000000"
                   "2e04 03000000 c7bab88d06f0563f 00 f211902c 01 52b81e3f 3804 03000000 0200 0400 68692037"
                   "0604 03000000 c4913a5d 00 074a1203 8b6ce7fba9f1823f 4204 03000000"),
      6));
  const AttemptOutcome& outcome = std::get<AttemptOutcome>(batch.events[0].body);
  EXPECT_TRUE(outcome.request_finished);
  EXPECT_EQ(outcome.actual_units, 3);
  EXPECT_EQ(outcome.backend_id, 0x03124a07u);
  const CounterResponse& response = std::get<CounterResponse>(batch.events[1].body);
  EXPECT_EQ(response.total, 38);
  EXPECT_EQ(response.counter_name, 0x89f690u);
  EXPECT_EQ(std::get<HealthCheckEvent>(batch.events[2].body).load.size(), 1u);
  EXPECT_EQ(std::get<PeerMessageEvent>(batch.events[3].body).bytes, "hi 7");
  EXPECT_EQ(std::get<ResponseStartedEvent>(batch.events[4].body).request, 0x5d3a91c4u);
  EXPECT_TRUE(std::holds_alternative<ExitEvent>(batch.events[5].body));
}

TEST(ProtocolCodec, EncodesActionsAsInTheSpecificationsExamples) {
  auto encode = [](Action action) {
    ReplyWriter reply;
    reply.Append(3, action);
    return reply.Finish().substr(4);
  };
  Action action;
  action.request_id = 0x5d3a91c4;
  action.kind = ActionKind::kCancelAttempt;
  EXPECT_EQ(encode(action), BytesFromHex("2404 03000000 c4913a5d 00"));
  action.request_id = 0x0e6f2b19;
  action.kind = ActionKind::kReject;
  action.duration_s = 0.25;
  EXPECT_EQ(encode(action), BytesFromHex("2e04 03000000 192b6f0e 000000000000d03f"));
  action.kind = ActionKind::kFail;
  EXPECT_EQ(encode(action), BytesFromHex("e803 03000000 192b6f0e"));
  action.kind = ActionKind::kCallCounter;
  action.tag = 0x89f690;
  action.counter_delta = 4;
  action.duration_s = 3;
  EXPECT_EQ(encode(action), BytesFromHex("4c04 03000000 90f6890000000000 00008040 0000000000000840"));
  action.kind = ActionKind::kPollEndpoints;
  EXPECT_EQ(encode(action), BytesFromHex("1004 03000000 01"));
  ReplyWriter reply;
  reply.AppendInstanceError(3, "index out of range");
  EXPECT_EQ(reply.Finish().substr(4),
            BytesFromHex("6004 03000000 1200 696e646578206f7574206f662072616e6765"));
}

TEST(ProtocolCodec, RejectsEveryTruncatedFrame) {
  std::string whole = BytesFromHex(
      "53000000 508d976e12d32040 03000000"
      "fc03 03000000 c4913a5d 00 0000 640ad2557c3bf091 b81e85eb51b8ce3f 00000040 00004040 0000803f 0100"
      "2404 03000000 4d00000000000000 1a04 05000000 192b6f0e");
  for (size_t n = 0; n < whole.size(); ++n) {
    std::string truncated = whole.substr(0, n);
    EXPECT_NE(ParseBatchError(truncated), "") << n;
    if (n < 16) continue;  // the header itself is cut
    uint32_t size = static_cast<uint32_t>(n);
    std::memcpy(truncated.data(), &size, 4);
    EXPECT_NE(ParseBatchError(truncated), "") << n;
  }
  EXPECT_EQ(ParseBatchError(whole), "");
}

TEST(ProtocolCodec, ErrorsNameTheMalformedField) {
  EXPECT_NE(ParseBatchError(Frame(BytesFromHex("0f27 03000000 00000000"), 1)).find("unknown event code 9999"),
            std::string::npos);
  EXPECT_NE(ParseBatchError(Frame(BytesFromHex("5604 10 00000000"), 1)).find("table number 16"),
            std::string::npos);
  EXPECT_NE(ParseBatchError(Frame(BytesFromHex("5604 00 ffffffff"), 1)).find("fewer entries"),
            std::string::npos);
  EXPECT_NE(ParseBatchError(Frame("", 5)).find("fewer records"), std::string::npos);
  EXPECT_NE(
      ParseBatchError(Frame(BytesFromHex("1a04 05000000 192b6f0e 00"), 1)).find("after its last record"),
      std::string::npos);
  EXPECT_NE(
      ParseBatchError(Frame(BytesFromHex("4c04 03000000 22fdf675e09c613f 00001842 07 90f6890000000000"), 1))
          .find("unknown outcome code 7"),
      std::string::npos);
  EXPECT_NE(
      ParseBatchError(Frame(BytesFromHex("f203 03000000 09 2900000000000000 00"), 1)).find("view scope 9"),
      std::string::npos);
}

std::string ValidSettings() {
  return "me=0\npeers-total=3\nzone=2\nresolution-s=0.002\ndiscovery=pushed\nspecifics.units-top=4\n"
         "specifics.may-count=true\nspecifics.counter-timeout-s=0.03\nspecifics.counter-price=0.02\n"
         "prices.cross-zone=0.01\nlimits.cancel=true\nlimits.parallel-tries=false\nlimits.retry-after=false\n"
         "limits.max-retry-after-s=2.0\nlimits.try-limit=5\ninvariants.cold-from=0.21\n"
         "invariants.warm-after-s=16.0\ninvariants.tip-multiple=2.0\ninvariants.tip-after-s=1.0\n"
         "invariants.ask-within-s=10.0\nrequest-classes.count=1\nrequest-classes.0.aim-s=0.6\n"
         "request-classes.0.hard-limit-s=1.5\nrequest-classes.0.window-s=5\nrequest-classes.0.importance=3\n"
         "request-classes.0.late-share=0.2\nrequest-classes.0.effect=guarded\n"
         "request-classes.0.dedup-scope=cell\ntiers-of-service.count=1\ntiers-of-service.0.units-per-s=2.4\n"
         "tiers-of-service.0.store-size=13\ntiers-of-service.0.never-over-rate=0\n"
         "tiers-of-service.0.ceiling-burst=0\ntiers-of-service.0.cap-slack=0\n"
         "tiers-of-service.0.excess-worth=0.5\ntiers-of-service.0.over-cost=1.2\n"
         "tiers-of-service.0.value-factor=0.72\ntiers-of-service.0.parallel=2\n";
}

// @return the error text, or an empty one if the settings are valid.
std::string ParseSettingsError(const std::string& text) {
  try {
    ParseSettings(text);
  } catch (const ProtocolError& error) {
    return error.what();
  }
  return "";
}

TEST(SettingsParser, ParsesKnownKeysAndIgnoresUnknownOnes) {
  Settings settings = ParseSettings(ValidSettings() + "new-thing.7=abc,def\n");
  EXPECT_EQ(settings.gateway_count, 3);
  EXPECT_EQ(settings.classes.at(0).idempotency, Idempotency::kWithinWindow);
  EXPECT_EQ(settings.classes.at(0).idempotency_scope, IdempotencyScope::kCell);
  EXPECT_EQ(settings.plans.at(0).rate_units_per_s, 2.4);
  EXPECT_EQ(settings.plans.at(0).max_in_flight, 2);
}

TEST(SettingsParser, ErrorsNameTheMissingOrUnreadableSetting) {
  std::string valid = ValidSettings();
  size_t begin = 0;
  while (begin < valid.size()) {
    size_t end = valid.find('\n', begin) + 1;
    std::string line = valid.substr(begin, end - begin), key = line.substr(0, line.find('='));
    std::string without = valid.substr(0, begin) + valid.substr(end);
    EXPECT_EQ(ParseSettingsError(without), "setting is missing: " + key);
    std::string unreadable = valid.substr(0, begin) + key + "=?\n" + valid.substr(end);
    EXPECT_EQ(ParseSettingsError(unreadable), "setting is unreadable: " + key + "=?");
    begin = end;
  }
}

// Runs the adapter program on `input`.
// @return its exit code, or -1 if a signal ended it.
int RunAdapter(const std::string& input, std::string* errors) {
  std::string base = testing::TempDir() + "lemonchute_" + std::to_string(getpid());
  std::FILE* file = std::fopen((base + ".in").c_str(), "wb");
  std::fwrite(input.data(), 1, input.size(), file);
  std::fclose(file);
  std::string command =
      std::string(LEMONCHUTE_ADAPTER) + " < " + base + ".in > " + base + ".out 2> " + base + ".err";
  int status = std::system(command.c_str());
  errors->assign(4096, '\0');
  file = std::fopen((base + ".err").c_str(), "rb");
  errors->resize(std::fread(errors->data(), 1, errors->size(), file));
  std::fclose(file);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

TEST(Adapter, ExitsCleanlyAtEndOfInputAndReportsInvalidInput) {
  std::string errors;
  std::string empty = BytesFromHex("10000000 508d976e12d32040 00000000");
  EXPECT_EQ(RunAdapter(empty, &errors), 0);
  EXPECT_EQ(errors, "");
  EXPECT_EQ(RunAdapter(empty + "ab", &errors), 1);
  EXPECT_NE(errors.find("frame length"), std::string::npos);
  EXPECT_EQ(RunAdapter(BytesFromHex("ffffffff 508d976e12d32040 00000000"), &errors), 1);
  EXPECT_NE(errors.find("too large"), std::string::npos);
  EXPECT_EQ(RunAdapter(Frame(BytesFromHex("f203 03000000 02 2900000000000000 00"), 1), &errors), 1);
  EXPECT_NE(errors.find("table 0, which was never sent"), std::string::npos);
  EXPECT_EQ(RunAdapter(Frame(BytesFromHex("e803 03000000 0000000000000000 03000000") + "a=b", 1), &errors),
            1);
  EXPECT_NE(errors.find("setting is missing: me"), std::string::npos);
}

}  // namespace
}  // namespace lemonchute::policy
