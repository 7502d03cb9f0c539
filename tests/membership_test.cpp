// The membership core: its datagram format, and fleets in virtual time under each kind of fault.
#include <gtest/gtest.h>

#include <map>

#include "membership_net.h"

namespace lemonchute::membership {
namespace {

Message FullMessage() {
  Message message;
  message.kind = Kind::kDigests, message.from = 3, message.target = 7, message.sequence = 0x01020304,
  message.digest = 0x1122334455667788;
  message.updates = {{5, State::kSuspect, 2, 9, {11, 12}}, {6, State::kLeft, 6, 1, {13, 14}}};
  for (uint32_t i = 0; i < kViewParts; ++i) message.part_digests.push_back(i * 7);
  return message;
}

TEST(MembershipMessage, DecodesWhatWasEncoded) {
  DecodeError error = DecodeError::kNone;
  auto decoded = Decode(Encode(FullMessage()), 10, &error);
  ASSERT_TRUE(decoded) << Name(error);
  EXPECT_EQ(decoded->kind, Kind::kDigests);
  EXPECT_EQ(decoded->sequence, 0x01020304u);
  EXPECT_EQ(decoded->digest, 0x1122334455667788u);
  EXPECT_EQ(decoded->updates, FullMessage().updates);
  EXPECT_EQ(decoded->part_digests, FullMessage().part_digests);
  Message oversized = FullMessage();
  oversized.updates.assign(99, oversized.updates[0]);
  EXPECT_LE(Encode(oversized).size(), kMaxDatagramBytes);
  EXPECT_EQ(Decode(Encode(oversized), 10, &error)->updates.size(), UpdatesThatFit(true));
}

// The bytes as docs/MEMBERSHIP.md defines them, written by hand, so that any change of the format fails here.
TEST(MembershipMessage, EncodingMatchesTheDocumentedBytes) {
  Message ping;
  ping.from = 3, ping.target = 7, ping.sequence = 0x01020304, ping.digest = 0x1122334455667788;
  ping.updates = {{5, State::kSuspect, 2, 9, {0xa1a2a3a4, 0xb1b2b3b4}}};
  const std::vector<uint8_t> bytes = {
      'L',  'M',  1,    1,                                // format, kind
      0,    3,    0,    7,    1,    2,    3,    4,        // from, target, sequence
      0x11, 0x22, 0x33, 0x44, 0x55, 0x66, 0x77, 0x88,     // digest
      1,    17,                                           // section kind: updates; its length
      0,    5,    1,    0,    2,    0,    0,    0,    9,  // member, state, by, incarnation
      0xa1, 0xa2, 0xa3, 0xa4, 0xb1, 0xb2, 0xb3, 0xb4};    // program, configuration
  EXPECT_EQ(Encode(ping), bytes);
  DecodeError error = DecodeError::kNone;
  EXPECT_EQ(Decode(bytes, 8, &error)->updates, ping.updates);
}

TEST(MembershipMessage, UnknownSectionsAreSkipped) {
  std::vector<uint8_t> bytes = Encode(FullMessage());
  for (uint8_t byte : {uint8_t{200}, uint8_t{3}, uint8_t{1}, uint8_t{2}, uint8_t{3}}) bytes.push_back(byte);
  DecodeError error = DecodeError::kNone;
  auto decoded = Decode(bytes, 10, &error);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->updates, FullMessage().updates);
}

TEST(MembershipMessage, MalformedInputIsRejectedWithItsReason) {
  const std::vector<uint8_t> valid = Encode(FullMessage());
  auto with_byte = [&](size_t at, uint8_t value) {
    std::vector<uint8_t> bytes = valid;
    bytes[at] = value;
    return bytes;
  };
  struct Case {
    std::vector<uint8_t> bytes;
    DecodeError error;
  };
  for (const Case& c :
       {Case{{}, DecodeError::kLength}, Case{std::vector<uint8_t>(257, 'L'), DecodeError::kLength},
        Case{with_byte(2, 9), DecodeError::kFormat}, Case{with_byte(3, 99), DecodeError::kKind},
        Case{with_byte(4, 200), DecodeError::kNumber}, Case{with_byte(21, 255), DecodeError::kSection},
        Case{with_byte(88, 200), DecodeError::kNumber}, Case{with_byte(90, 7), DecodeError::kSection},
        Case{with_byte(91, 200), DecodeError::kNumber},
        Case{with_byte(93, 0x7f), DecodeError::kIncarnation}}) {
    DecodeError error = DecodeError::kNone;
    EXPECT_FALSE(Decode(c.bytes, 10, &error));
    EXPECT_EQ(Name(error), std::string(Name(c.error)));
  }
  std::mt19937_64 random(1);
  DecodeError error = DecodeError::kNone;
  for (size_t length = 0; length <= valid.size(); ++length) Decode({valid.data(), length}, 10, &error);
  for (int i = 0; i < 100000; ++i) {
    std::vector<uint8_t> bytes = valid;
    bytes.resize(random() % (kMaxDatagramBytes + 8));
    for (int n = static_cast<int>(random() % 8); n > 0 && !bytes.empty(); --n)
      bytes[random() % bytes.size()] = static_cast<uint8_t>(random());
    if (i % 4 == 0) {
      for (uint8_t& byte : bytes) byte = static_cast<uint8_t>(random());
    }
    Decode(bytes, 10, &error);
  }
}

// Hostile and stale datagrams are dropped and counted, and the view stays unchanged.
TEST(Membership, UnknownSendersReplaysAndNoiseLeaveTheViewUnchanged) {
  SimulatedNetwork net(5, 1);
  net.StartAll();
  net.Run(20 * kSecond);
  ASSERT_TRUE(net.DigestsAgree());
  Membership& core = *net.members[0].core;
  uint64_t digest = core.view().digest();
  Actions out;
  Message impostor;
  impostor.from = 3;
  std::vector<uint8_t> bytes = Encode(impostor);
  core.OnDatagram(net.now, -1, bytes, &out);
  core.OnDatagram(net.now, 99, bytes, &out);
  core.OnDatagram(net.now, 2, bytes, &out);  // claims to be member 3
  std::vector<uint8_t> noise(256, 0xab);
  core.OnDatagram(net.now, 1, noise, &out);
  EXPECT_EQ(core.counts().unknown_senders, 2u);
  EXPECT_EQ(core.counts().sender_mismatches, 1u);
  EXPECT_EQ(core.counts().malformed[static_cast<size_t>(DecodeError::kFormat)], 1u);
  Message stale;
  stale.from = 1, stale.updates = {{2, State::kDead, 1, 0, {}}};
  size_t sent = out.send.size();
  for (int i = 0; i < 10000; ++i) core.OnDatagram(net.now, 1, Encode(stale), &out);
  EXPECT_EQ(core.view().digest(), digest);
  // No amplification: what goes out is bounded by the own rate, whatever comes in.
  EXPECT_LE(out.send.size() - sent, 15u);
}

struct ConvergedFleet {
  ConvergedFleet(size_t members, uint64_t seed) : net(members, seed) {
    net.on_change = [this](int, const Change& change) {
      if (change.current == State::kDead) ++deaths[change.member];
    };
    net.StartAll();
    net.Run(15 * kSecond);
  }
  SimulatedNetwork net;
  std::map<int, int> deaths;
};

constexpr size_t kMembers = 40;
constexpr Micros kConvergenceBound = 60 * kSecond;

TEST(Membership, ADeathIsKnownToAllWithoutFalseDeaths) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    ConvergedFleet fleet(kMembers, seed);
    EXPECT_TRUE(fleet.net.DigestsAgree()) << seed;
    EXPECT_EQ(fleet.net.members[5].core->ComputeVerdict(fleet.net.now), Verdict::kConverged);
    fleet.net.Kill(7);
    Micros max_timeout = fleet.net.members[5].core->MaxSuspicionTimeout();
    EXPECT_GE(fleet.net.RunUntil(fleet.net.now + max_timeout + 5 * kSecond,
                                 [&] { return fleet.net.AllSee(7, State::kDead); }),
              0)
        << seed;
    EXPECT_EQ(fleet.deaths.size(), 1u) << seed;
  }
}

TEST(Membership, ARestartedMemberOverridesItsEarlierState) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    ConvergedFleet fleet(kMembers, seed);
    fleet.net.Kill(7);
    fleet.net.RunUntil(kConvergenceBound, [&] { return fleet.net.AllSee(7, State::kDead); });
    fleet.net.Start(7, {2, 2});
    EXPECT_GE(
        fleet.net.RunUntil(fleet.net.now + kConvergenceBound,
                           [&] { return fleet.net.AllSee(7, State::kAlive) && fleet.net.DigestsAgree(); }),
        0)
        << seed;
    EXPECT_EQ(fleet.net.members[3].core->view().At(7).version, (SoftwareVersion{2, 2}));
    // Also after an immediate restart that nobody noticed: its new version is known to all.
    fleet.net.Kill(9);
    fleet.net.Start(9, {3, 3});
    EXPECT_GE(fleet.net.RunUntil(fleet.net.now + kConvergenceBound,
                                 [&] {
                                   return fleet.net.DigestsAgree() &&
                                          fleet.net.members[3].core->view().At(9).version ==
                                              SoftwareVersion{3, 3};
                                 }),
              0)
        << seed;
  }
}

TEST(Membership, APlannedLeaveIsNotTakenForADeath) {
  ConvergedFleet fleet(kMembers, 3);
  fleet.net.Execute(7, [&](Actions* out) { fleet.net.members[7].core->Leave(fleet.net.now, out); });
  fleet.net.Schedule(fleet.net.now + kSecond, [&] { fleet.net.Kill(7); });
  EXPECT_GE(fleet.net.RunUntil(fleet.net.now + kConvergenceBound,
                               [&] { return fleet.net.AllSee(7, State::kLeft); }),
            0);
  EXPECT_TRUE(fleet.deaths.empty());
}

TEST(Membership, AMemberThatLeftSeesTheFleetAndRejoins) {
  ConvergedFleet fleet(kMembers, 6);
  Membership& leaver = *fleet.net.members[7].core;
  fleet.net.Execute(7, [&](Actions* out) { leaver.Leave(fleet.net.now, out); });
  EXPECT_GE(fleet.net.RunUntil(fleet.net.now + kConvergenceBound,
                               [&] { return fleet.net.AllSee(7, State::kLeft); }),
            0);
  fleet.net.Kill(3);
  EXPECT_GE(fleet.net.RunUntil(fleet.net.now + kConvergenceBound,
                               [&] { return fleet.net.AllSee(3, State::kDead) && fleet.net.DigestsAgree(); }),
            0);
  fleet.net.Execute(7, [&](Actions*) { leaver.Rejoin(fleet.net.now); });
  EXPECT_GE(
      fleet.net.RunUntil(fleet.net.now + kConvergenceBound,
                         [&] { return fleet.net.AllSee(7, State::kAlive) && fleet.net.DigestsAgree(); }),
      0);
  EXPECT_EQ(fleet.deaths.size(), 1u);
}

// The peer list changes at some members before others: no false deaths, and the views converge.
TEST(Membership, PeerListsMayDifferDuringAReload) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    ConvergedFleet fleet(12, seed);
    fleet.net.Kill(11);
    for (int m = 0; m < 11; m += 2) fleet.net.members[static_cast<size_t>(m)].core->Resize(fleet.net.now, 11);
    fleet.net.Run(fleet.net.now + 10 * kSecond);
    EXPECT_GT(fleet.net.members[0].core->counts().unknown_members, 0u);
    EXPECT_EQ(fleet.net.members[0].core->view().size(), 11u);
    EXPECT_EQ(fleet.net.members[1].core->view().Count(State::kAlive), 11u);
    for (int m = 0; m < 11; m += 2) fleet.net.members[static_cast<size_t>(m)].core->Resize(fleet.net.now, 12);
    fleet.net.Start(11);
    EXPECT_GE(
        fleet.net.RunUntil(fleet.net.now + kConvergenceBound,
                           [&] { return fleet.net.AllSee(11, State::kAlive) && fleet.net.DigestsAgree(); }),
        0)
        << seed;
    for (const auto& [member, times] : fleet.deaths) EXPECT_EQ(member, 11);
  }
}

// A flooding peer gets at most half of the receive rate, and a process that uses our number leaves us cut
// off.
TEST(Membership, AFloodDoesNotStarveOtherPeersAndImpersonationIsDetected) {
  SimulatedNetwork net(5, 1);
  net.StartAll();
  net.Run(20 * kSecond);
  Membership& core = *net.members[0].core;
  Message ping;
  ping.from = 1, ping.digest = core.view().digest();
  std::vector<uint8_t> flood = Encode(ping);
  ping.from = 2;
  std::vector<uint8_t> honest = Encode(ping);
  size_t answers = 0;
  for (int i = 0; i < 1000; ++i) {
    net.now += 10'000;
    Actions out;
    for (int n = 0; n < 100; ++n) core.OnDatagram(net.now, 1, flood, &out);
    if (i % 50 == 0) core.OnDatagram(net.now, 2, honest, &out);  // two per second
    for (const Datagram& d : out.send) answers += d.to == 2 ? 1 : 0;
  }
  EXPECT_GT(core.counts().over_sender_rate, 90000u);
  EXPECT_GE(answers, 19u);
  EXPECT_EQ(core.Status(net.now).verdict, Verdict::kConverged);
  ping.from = 0;
  Actions out;
  core.OnDatagram(net.now, 0, Encode(ping), &out);
  EXPECT_TRUE(out.send.empty());
  EXPECT_EQ(core.counts().impersonations, 1u);
  EXPECT_EQ(core.Status(net.now).verdict, Verdict::kCutOff);
  EXPECT_FALSE(core.Status(net.now).Usable());
}

TEST(Membership, ARollingRestartCausesNoDeaths) {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    ConvergedFleet fleet(kMembers, seed);
    for (int wave = 0; wave < 10; ++wave) {
      for (int m = wave * 4; m < wave * 4 + 4; ++m) {
        fleet.net.Execute(m, [&](Actions* out) {
          fleet.net.members[static_cast<size_t>(m)].core->Leave(fleet.net.now, out);
        });
        fleet.net.Schedule(fleet.net.now + kSecond, [&fleet, m] { fleet.net.Kill(m); });
        fleet.net.Schedule(fleet.net.now + 2 * kSecond, [&fleet, m] { fleet.net.Start(m, {2, 2}); });
      }
      fleet.net.Run(fleet.net.now + 3 * kSecond);
    }
    auto all_restarted = [&] {
      if (!fleet.net.DigestsAgree()) return false;
      const View& view = fleet.net.members[0].core->view();
      for (size_t m = 0; m < kMembers; ++m) {
        if (view.At(m).state != State::kAlive || view.At(m).version != SoftwareVersion{2, 2}) return false;
      }
      return true;
    };
    EXPECT_GE(fleet.net.RunUntil(fleet.net.now + kConvergenceBound, all_restarted), 0) << seed;
    EXPECT_TRUE(fleet.deaths.empty()) << seed << ": " << fleet.deaths.size();
    for (SimulatedNetwork::Member& m : fleet.net.members) EXPECT_LE(m.peak_arrivals_per_s, 60u) << seed;
  }
}

TEST(Membership, APauseOfSecondsCausesNoDeaths) {
  ConvergedFleet fleet(kMembers, 4);
  for (int m : {1, 2, 3}) fleet.net.Pause(m);
  fleet.net.Run(fleet.net.now + 2 * kSecond);
  for (int m : {1, 2, 3}) fleet.net.Resume(m);
  EXPECT_GE(fleet.net.RunUntil(fleet.net.now + kConvergenceBound, [&] { return fleet.net.DigestsAgree(); }),
            0);
  EXPECT_TRUE(fleet.deaths.empty());
  EXPECT_GE(fleet.net.members[1].core->counts().stalls, 1u);
}

TEST(Membership, APartitionIsDetectedByTheMinorityAndHeals) {
  ConvergedFleet fleet(kMembers, 5);
  // A fifth of the fleet is partitioned off, then only what it sends is lost, then the network heals.
  fleet.net.passes = [](int from, int to) { return (from < 8) == (to < 8); };
  EXPECT_GE(fleet.net.RunUntil(fleet.net.now + kConvergenceBound,
                               [&] {
                                 return fleet.net.members[2].core->ComputeVerdict(fleet.net.now) ==
                                            Verdict::kCutOff &&
                                        fleet.net.members[20].core->view().Count(State::kDead) == 8;
                               }),
            0);
  EXPECT_NE(fleet.net.members[20].core->ComputeVerdict(fleet.net.now), Verdict::kCutOff);
  fleet.net.passes = [](int from, int) { return from >= 8; };
  fleet.net.Run(fleet.net.now + 10 * kSecond);
  fleet.net.passes = [](int, int) { return true; };
  EXPECT_GE(fleet.net.RunUntil(fleet.net.now + kConvergenceBound,
                               [&] {
                                 return fleet.net.DigestsAgree() &&
                                        fleet.net.members[2].core->view().Count(State::kAlive) == kMembers;
                               }),
            0);
  // Until digests from before the heal are replaced.
  fleet.net.Run(fleet.net.now + 10 * kSecond);
  EXPECT_EQ(fleet.net.members[2].core->ComputeVerdict(fleet.net.now), Verdict::kConverged);
}

// After random kills, partitions, pauses and restarts all members come to one digest once the faults end, and
// none receives more than its limit in any second.
TEST(Membership, ViewsConvergeAfterRandomFaults) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedNetwork net(24, seed);
    net.StartAll();
    std::mt19937_64 random(seed * 77);
    std::vector<char> isolated(24, 0);
    net.passes = [&](int from, int to) {
      return isolated[static_cast<size_t>(from)] == isolated[static_cast<size_t>(to)];
    };
    for (int i = 0; i < 30; ++i) {
      net.Run(net.now + static_cast<Micros>(random() % (3 * kSecond)));
      int m = static_cast<int>(random() % 24);
      SimulatedNetwork::Member& member = net.members[static_cast<size_t>(m)];
      switch (random() % 5) {
        case 0: net.Kill(m); break;
        case 1: net.Start(m, {static_cast<uint32_t>(random() % 3), 1}); break;
        case 2: member.paused ? net.Resume(m) : net.Pause(m); break;
        case 3: isolated[static_cast<size_t>(m)] ^= 1; break;
        case 4:
          net.Execute(m, [&](Actions*) {
            if (member.core && !member.paused)
              member.core->SetVersion(net.now, {9, static_cast<uint32_t>(i)});
          });
          break;
      }
    }
    std::fill(isolated.begin(), isolated.end(), 0);
    for (int m = 0; m < 24; ++m) {
      if (net.members[static_cast<size_t>(m)].paused) net.Resume(m);
    }
    auto converged = [&] {
      if (!net.DigestsAgree()) return false;
      for (int m = 0; m < 24; ++m) {
        if (!net.AllSee(m, net.members[static_cast<size_t>(m)].core ? State::kAlive : State::kDead))
          return false;
      }
      return true;
    };
    EXPECT_GE(net.RunUntil(net.now + 2 * kConvergenceBound, converged), 0) << seed;
    EXPECT_LE(net.longest_datagram(), kMaxDatagramBytes);
    for (SimulatedNetwork::Member& m : net.members) EXPECT_LE(m.peak_arrivals_per_s, 60u) << seed;
  }
}

TEST(Membership, TheSameSeedReplaysTheSameRun) {
  auto run = [](uint64_t seed) {
    ConvergedFleet fleet(12, seed);
    fleet.net.Kill(3);
    fleet.net.Run(40 * kSecond);
    uint64_t sum = 0;
    for (SimulatedNetwork::Member& m : fleet.net.members) sum = sum * 31 + m.total_arrivals;
    return sum;
  };
  EXPECT_EQ(run(1), run(1));
  EXPECT_NE(run(1), run(2));
}

}  // namespace
}  // namespace lemonchute::membership
