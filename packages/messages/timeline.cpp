#include "messages/timeline.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <sstream>

namespace fireflydrift::messages {

namespace {

// A parsed log line: time, event name and fields.
struct Line {
  std::string m_Text;
  std::string m_Time;
  std::string m_Event;
  std::map<std::string, std::string> m_Fields;

  friend bool operator<(const Line &A, const Line &B) {
    return A.m_Time < B.m_Time;
  }
};

} // namespace

// Matches timestamps such as "2026-03-19T03:08:24.024335".
static bool isTime(const std::string &Word) {
  constexpr std::size_t DateLength = 10;
  return Word.size() > DateLength && Word[4] == '-' &&
         Word[DateLength] == 'T' &&
         std::isdigit(static_cast<unsigned char>(Word[0])) != 0;
}

// Parses key=value or key="a value". Word is the text up to the first space;
// the rest of a quoted value is read from Words.
static void readField(std::istringstream &Words, const std::string &Word,
                      Line &Parsed) {
  auto Equals = Word.find('=');
  if (Equals == std::string::npos)
    return;
  std::string Value = Word.substr(Equals + 1);
  bool IsUnterminated =
      Value.starts_with('"') && (Value.size() == 1 || !Value.ends_with('"'));
  if (IsUnterminated) {
    std::string Rest;
    std::getline(Words, Rest, '"');
    Value += Rest;
  }
  std::erase(Value, '"');
  Parsed.m_Fields[Word.substr(0, Equals)] = Value;
}

static Line readLine(const std::string &Text) {
  Line Value{.m_Text = Text};
  std::istringstream Words(Text);
  std::string Word;
  while (Words >> Word) {
    if (Value.m_Time.empty()) {
      if (isTime(Word))
        Value.m_Time = Word;
    } else if (Value.m_Event.empty()) {
      // The event's name follows its code, such as FD2015.
      if (Word.starts_with("FD"))
        Words >> Value.m_Event;
    } else {
      readField(Words, Word, Value);
    }
  }
  return Value;
}

static std::string field(const Line &Value, const char *Name) {
  auto Found = Value.m_Fields.find(Name);
  return Found == Value.m_Fields.end() ? std::string() : Found->second;
}

// ---- Causes ----------------------------------------------------------------

namespace {

// Facts about the request, collected line by line.
struct RequestHistory {
  std::string m_Refusal;
  std::string m_Outcome;
  std::string m_PreemptedBy;
  std::string m_LastFailedTarget;
  std::string m_LastInterruption;
  std::string m_LastEvent;
  std::size_t m_Failures = 0;
  bool m_Accepted = false;
  bool m_Started = false;
};

} // namespace

static void recordLine(RequestHistory &History, const std::string &Id,
                       const Line &Value) {
  History.m_LastEvent = Value.m_Event + " at " + Value.m_Time;
  if (Value.m_Event == "request_refused")
    History.m_Refusal = field(Value, "reason");
  else if (Value.m_Event == "workflow_accepted")
    History.m_Accepted = true;
  else if (Value.m_Event == "workflow_finished")
    History.m_Outcome = field(Value, "outcome");
  else if (Value.m_Event == "run_started")
    History.m_Started = true;
  else if (Value.m_Event == "run_displaced" && field(Value, "for") != Id)
    History.m_PreemptedBy = field(Value, "for");
  if (Value.m_Event != "run_ended")
    return;
  std::string Cause = field(Value, "cause");
  if (Cause == "failed") {
    ++History.m_Failures;
    History.m_LastFailedTarget = field(Value, "target");
  } else if (Cause != "done") {
    History.m_LastInterruption = Cause + " on " + field(Value, "target");
  }
}

static std::string describeDelays(const RequestHistory &Value) {
  std::string Text;
  if (!Value.m_PreemptedBy.empty())
    Text += "; it was preempted for " + Value.m_PreemptedBy;
  if (!Value.m_LastInterruption.empty())
    Text += "; a run ended as " + Value.m_LastInterruption;
  if (Value.m_Failures > 0)
    Text += "; " + std::to_string(Value.m_Failures) +
            " runs failed, the last on " + Value.m_LastFailedTarget;
  return Text;
}

static std::string describeCause(const RequestHistory &Value) {
  if (!Value.m_Outcome.empty())
    return "it ended as " + Value.m_Outcome + describeDelays(Value);
  if (!Value.m_Accepted && !Value.m_Refusal.empty())
    return "it was refused: " + Value.m_Refusal;
  if (!Value.m_Accepted)
    return "no leader accepted or refused it; its last event is " +
           Value.m_LastEvent;
  if (!Value.m_Started)
    return "it was accepted and waits for capacity";
  return "it has not finished" + describeDelays(Value) +
         "; its last event is " + Value.m_LastEvent;
}

Timeline buildTimeline(const std::string &Id,
                       const std::vector<std::string> &Logs) {
  std::vector<Line> Found;
  for (const std::string &Log : Logs) {
    std::istringstream Stream(Log);
    std::string Text;
    while (std::getline(Stream, Text))
      if (Text.find(Id) != std::string::npos)
        if (Line Value = readLine(Text); !Value.m_Event.empty())
          Found.push_back(std::move(Value));
  }
  std::stable_sort(Found.begin(), Found.end());
  Timeline Out;
  RequestHistory History;
  for (const Line &Each : Found) {
    Out.m_Lines.push_back(Each.m_Text);
    recordLine(History, Id, Each);
  }
  Out.m_Cause =
      Found.empty() ? "no log line contains this id" : describeCause(History);
  return Out;
}

} // namespace fireflydrift::messages
