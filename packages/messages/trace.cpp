#include "messages/trace.h"

#include "messages/json.h"
#include "messages/json_reader.h"

#include <algorithm>

namespace fireflydrift::messages {

using impl::Json;
using impl::ObjectReader;

static core::Reason invalid(const std::string &Field,
                            const std::string &Message) {
  return {core::ReasonCode::InvalidInput, Field, Message};
}

// Decodes a nested object with one of the decoders of json.h. Records the first
// failure in Error.
template <class T>
static std::optional<T>
decodePart(const Json &Value, core::Outcome<T> (*Decode)(const std::string &),
           core::Reason &Error) {
  auto Decoded = Decode(Value.dump());
  if (Decoded)
    return *std::move(Decoded);
  if (Error.m_Code == core::ReasonCode::None)
    Error = Decoded.reason();
  return std::nullopt;
}

static std::int64_t number(const Json &Value, const char *Field,
                           std::int64_t Default) {
  auto Found = Value.find(Field);
  bool IsPresent = Found != Value.end() && Found->is_number_integer();
  return IsPresent ? Found->get<std::int64_t>() : Default;
}

// The text in a field; Default when the field is missing. Records an error when
// it is no text.
static std::string text(const Json &Value, const char *Field,
                        const std::string &Default, core::Reason &Error) {
  auto Found = Value.find(Field);
  if (Found == Value.end())
    return Default;
  if (Found->is_string())
    return Found->get<std::string>();
  if (Error.m_Code == core::ReasonCode::None)
    Error = invalid(Field, "must be a string");
  return Default;
}

// Returns false and records an error when the value is no object.
static bool isObject(const Json &Value, const char *Field,
                     core::Reason &Error) {
  if (!Value.is_object() && Error.m_Code == core::ReasonCode::None)
    Error = invalid(Field, "must hold objects");
  return Value.is_object();
}

// ---- Targets ---------------------------------------------------------------

// Reads "targets": groups of identical targets. Each group fills the racks of
// its site in order, per_rack targets to a rack.
static void readTargets(const Json &Groups, control::Trace &Trace,
                        core::Reason &Error) {
  std::int64_t Number = 0;
  for (const Json &Group : Groups) {
    if (!isObject(Group, "targets", Error))
      return;
    std::int64_t Count = number(Group, "count", 1);
    std::int64_t PerRack =
        std::max<std::int64_t>(number(Group, "per_rack", 8), 1);
    std::string Site = text(Group, "site", "s1", Error);
    std::string Region = text(Group, "region", Site, Error);
    std::string Domain = text(Group, "failure_domain", Site, Error);
    for (std::int64_t I = 0; I < Count; ++I, ++Number) {
      Json Target{{"id", "t" + std::to_string(Number)},
                  {"host", "127.0.0.1"},
                  {"port", 9000},
                  {"incarnation", 1},
                  {"region", Region},
                  {"failure_domain", Domain},
                  {"rack", Site + "-k" + std::to_string(I / PerRack)},
                  {"labels", {{"site", Site}}},
                  {"capacity",
                   {{"accelerators", number(Group, "accelerators", 8)},
                    {"processors", number(Group, "processors", 64)},
                    {"memory_mb", number(Group, "memory_mb", 262144)}}}};
      if (auto Announcement = decodePart(Target, decodeAnnouncement, Error))
        Trace.m_Events.push_back(
            {core::timeFromMs(0),
             control::TraceAnnounce{.m_Announcement = *Announcement}});
    }
  }
}

// ---- Events ----------------------------------------------------------------

static void readSubmits(const Json &Event, core::Time At, control::Trace &Trace,
                        core::Reason &Error) {
  std::int64_t Count = number(Event, "count", 1);
  core::Duration Interval(number(Event, "every_ms", 0));
  for (std::int64_t I = 0; I < Count; ++I) {
    Json Job = Event["submit"];
    if (!isObject(Job, "submit", Error))
      return;
    if (Event.contains("count") && Job.contains("id"))
      Job["id"] = text(Job, "id", "", Error) + "-" + std::to_string(I);
    auto Spec = decodePart(Job, decodeJobSpec, Error);
    if (!Spec)
      return;
    core::Duration RunTime(number(Event, "runs_ms", Spec->m_RunTime.count()));
    Trace.m_Events.push_back(
        {At + Interval * I, control::TraceSubmit{.m_Spec = *std::move(Spec),
                                                 .m_RunTime = RunTime}});
  }
}

static void readCancels(const Json &Event, core::Time At, control::Trace &Trace,
                        core::Reason &Error) {
  const Json &Cancel = Event["cancel"];
  if (!isObject(Cancel, "cancel", Error))
    return;
  std::int64_t Count = number(Event, "count", 1);
  for (std::int64_t I = 0; I < Count; ++I) {
    std::string Id = text(Cancel, "id", "", Error);
    if (Event.contains("count"))
      Id += "-" + std::to_string(I);
    Trace.m_Events.push_back(
        {At, control::TraceCancel{
                 {core::WorkspaceId(text(Cancel, "workspace", "", Error)),
                  core::RequestId(Id)}}});
  }
}

static void readEvent(const Json &Event, control::Trace &Trace,
                      core::Reason &Error) {
  // Targets and the configuration are at time 0 and come first, because events
  // are sorted stably. Other events default to 1 ms.
  core::Time At =
      core::timeFromMs(std::max<std::int64_t>(number(Event, "at_ms", 1), 0));
  auto TargetOf = [&](const char *Field) {
    return core::TargetId(text(Event, Field, "", Error));
  };
  if (Event.contains("submit"))
    readSubmits(Event, At, Trace, Error);
  else if (Event.contains("cancel"))
    readCancels(Event, At, Trace, Error);
  else if (Event.contains("lose"))
    Trace.m_Events.push_back({At, control::TraceTargetLost{TargetOf("lose")}});
  else if (Event.contains("fail"))
    Trace.m_Events.push_back({At, control::TraceTargetFails{TargetOf("fail")}});
  else if (Error.m_Code == core::ReasonCode::None)
    Error = invalid("events", "each must contain submit, cancel, lose or fail");
}

core::Outcome<control::Trace> decodeTrace(const std::string &Text) {
  Json Document = parseJson(Text);
  if (!Document.is_object())
    return invalid("", "must be a JSON object");
  for (const char *Field : {"targets", "events"})
    if (!Document.contains(Field) || !Document[Field].is_array())
      return invalid(Field, "must be an array");
  if (!Document.contains("configuration") || !Document.contains("expect") ||
      !Document["expect"].is_object())
    return invalid("expect", "configuration and expect are required");
  core::Reason Error;
  control::Trace Out{.m_Name = text(Document, "name", "", Error)};
  readTargets(Document["targets"], Out, Error);
  if (auto Proposal =
          decodePart(Document["configuration"], decodeProposal, Error))
    Out.m_Events.push_back(
        {core::timeFromMs(0), control::TraceConfigure{*Proposal}});
  for (const Json &Event : Document["events"]) {
    if (!Event.is_object())
      return invalid("events", "must hold objects");
    readEvent(Event, Out, Error);
  }
  for (const auto &[Measure, Range] : Document["expect"].items()) {
    bool IsWellFormed = Range.is_array() && Range.size() == 2 &&
                        Range[0].is_number_integer() &&
                        Range[1].is_number_integer();
    if (!IsWellFormed)
      return invalid("expect." + Measure, "must be [minimum, maximum]");
    Out.m_Expectations.push_back(
        {.m_Measure = Measure, .m_AtLeast = Range[0], .m_AtMost = Range[1]});
  }
  if (Error.m_Code != core::ReasonCode::None)
    return Error;
  std::stable_sort(
      Out.m_Events.begin(), Out.m_Events.end(),
      [](const auto &A, const auto &B) { return A.m_At < B.m_At; });
  return Out;
}

} // namespace fireflydrift::messages
