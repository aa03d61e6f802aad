#include "messages/codec.h"

#include <cstring>
#include <gtest/gtest.h>
#include <random>
#include <xxhash.h>

using namespace fireflydrift;
using namespace fireflydrift::messages;

static job::JobSpec spec() {
  return {.m_Key = {core::WorkspaceId("w"), core::RequestId("r")},
          .m_Shape = {.m_Tasks = 2,
                      .m_PerTask = {1, 2, 3},
                      .m_Adjacency = core::Adjacency::Required},
          .m_Idempotent = false,
          .m_Selector = *core::Selector::parse("site=a|b,!c"),
          .m_Labels =
              core::Labels(std::map<std::string, std::string>{{"kind", "x"}}),
          .m_Body = std::string("\0\xff text", 7)};
}

// One envelope for each message type.
static std::vector<Envelope> envelopes() {
  replica::Members Members(
      {{core::VmId("a"), {.m_Incarnation = 7, .m_Voter = true}}});
  std::vector<Body> Bodies{
      ReplicaMessage{replica::VoteRequest{.m_Term = 3}},
      ReplicaMessage{replica::VoteReply{.m_Granted = true}},
      ReplicaMessage{
          replica::Append{.m_Entries = {{.m_Index = 4, .m_Commands = "c"},
                                        {.m_Index = 5, .m_Members = Members}}}},
      ReplicaMessage{replica::AppendReply{.m_Match = 9}},
      ReplicaMessage{replica::InstallSnapshot{.m_State = "state"}},
      ReplicaMessage{replica::JoinRequest{.m_Incarnation = 1}},
      ReplicaMessage{replica::JoinReply{.m_Members = Members}},
      ReplicaMessage{replica::TransferLeadership{.m_Term = 8}},
      ForwardOperation{1, control::Submit{spec()}},
      ForwardOperation{2, control::Fetch{spec().m_Key, core::Duration(5)}},
      ForwardOperation{3, control::Configure{}},
      ForwardOperation{4, control::ReportResults{core::TargetId("t"),
                                                 {{.m_Job = spec().m_Key,
                                                   .m_Answer = "a"}}}},
      OperationReply{
          1, control::JobView{.m_Job = spec().m_Key, .m_Answers = {"x", "y"}}},
      OperationReply{2,
                     control::Failure{{core::ReasonCode::Conflict, "f", "r"}}},
      OperationReply{3, control::StatusView{.m_Vms = {{}}}},
      NotLeader{5},
      ReportHeartbeats{{.m_Sequence = 2, .m_Appeared = {core::TargetId("t")}}},
      RequestHeartbeats{},
      ReannounceTargets{{core::TargetId("t")}}};
  std::vector<Envelope> All;
  All.reserve(Bodies.size());
  for (Body &Each : Bodies)
    All.push_back({core::VmId("v"), std::move(Each)});
  return All;
}

TEST(Codec, RoundTripsEveryMessage) {
  for (const Envelope &Each : envelopes()) {
    auto Back = decodeEnvelope(encode(Each));
    ASSERT_TRUE(Back) << core::toString(Back.reason());
    EXPECT_EQ(*Back, Each);
  }
}

static void flipBits(char &Value, unsigned long Bits) {
  Value = static_cast<char>(static_cast<unsigned char>(Value) ^ Bits);
}

TEST(Codec, RejectsCorruptedMessages) {
  std::minstd_rand Random(17);
  int Tried = 0;
  for (const Envelope &Each : envelopes()) {
    std::string Bytes = encode(Each);
    for (int I = 0; I < 300; ++I) {
      std::string Corrupted = Bytes;
      switch (Random() % 3) {
      case 0:
        flipBits(Corrupted[Random() % Corrupted.size()], 1 + Random() % 255);
        break;
      case 1:
        Corrupted.resize(Random() % Corrupted.size());
        break;
      default:
        Corrupted += static_cast<char>(Random());
        break;
      }
      auto Decoded = decodeEnvelope(Corrupted);
      EXPECT_FALSE(Decoded);
      EXPECT_EQ(Decoded.reason().m_Code, core::ReasonCode::Corrupt);
      ++Tried;
    }
  }
  EXPECT_GT(Tried, 5000);
}

// Gives the changed content of an encoded envelope a valid checksum again, so
// that decoding gets beyond the header.
static std::string resealed(std::string Bytes) {
  constexpr std::size_t HeaderBytes = 9;
  constexpr std::uint64_t EnvelopeType = 1;
  std::uint64_t Checksum = XXH64(Bytes.data() + HeaderBytes,
                                 Bytes.size() - HeaderBytes, EnvelopeType);
  std::memcpy(Bytes.data() + 1, &Checksum, sizeof(Checksum));
  return Bytes;
}

// A frame with a valid checksum from another writer, or from a VM with a fault
// in its memory. A declared size must not make the decoder allocate it.
TEST(Codec, SurvivesResealedFrames) {
  constexpr std::size_t HeaderBytes = 9;
  std::minstd_rand Random(23);
  int Refused = 0;
  int Read = 0;
  for (const Envelope &Each : envelopes()) {
    const std::string Bytes = encode(Each);
    ASSERT_TRUE(decodeEnvelope(resealed(Bytes)));
    for (int I = 0; I < 2000; ++I) {
      std::string Changed = Bytes;
      for (int Edits = 0; Edits < 1 + I % 3; ++Edits) {
        std::size_t At =
            HeaderBytes + Random() % (Changed.size() - HeaderBytes);
        Changed[At] = static_cast<char>(I % 2 == 0 ? 0xff : Random());
      }
      if (I % 5 == 0)
        Changed.resize(HeaderBytes + Random() % (Changed.size() - HeaderBytes));
      bool Decoded = static_cast<bool>(decodeEnvelope(resealed(Changed)));
      ++(Decoded ? Read : Refused);
    }
  }
  EXPECT_GT(Refused, 1000);
  EXPECT_GT(Read, 1000);
}

TEST(Codec, RejectsValueOfAnotherType) {
  EXPECT_FALSE(decodeTables(encode(membership::Heartbeat{})));
  EXPECT_FALSE(decodeHeartbeat(encode(envelopes()[0])));
}

TEST(Codec, RoundTripsTables) {
  control::State State;
  control::Batch Batch{
      .m_At = core::timeFromMs(5),
      .m_Commands = {control::ChangeConfiguration{
                         {.m_Operation = core::OperationId("o"),
                          .m_Workspaces = {{.m_Id = core::WorkspaceId("w"),
                                            .m_Quota = 9}}}},
                     control::AnnounceTarget{{.m_Id = core::TargetId("t"),
                                              .m_Host = "127.0.0.1",
                                              .m_Port = 1,
                                              .m_Region = "r",
                                              .m_FailureDomain = "d",
                                              .m_Rack = "k",
                                              .m_Capacity = {8, 8, 8}}},
                     control::AcceptJob{spec()},
                     control::PlaceJob{{.m_Job = spec().m_Key,
                                        .m_Targets = {core::TargetId("t"),
                                                      core::TargetId("t")}}}}};
  auto Decoded = decodeBatch(encode(Batch));
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(*Decoded, Batch);
  State = control::apply(std::move(State), Batch).m_State;
  auto Back = decodeTables(encode(State.m_Tables));
  ASSERT_TRUE(Back);
  EXPECT_EQ(control::restore(*Back), State);
}
