#include "core/labels.h"

#include <algorithm>
#include <sstream>

namespace fireflydrift::core {

// ---- Labels ----------------------------------------------------------------

const std::string *Labels::find(const std::string &Key) const {
  auto Found = m_Entries.find(Key);
  return Found == m_Entries.end() ? nullptr : &Found->second;
}

bool Labels::has(const std::string &Key, const std::string &Value) const {
  const std::string *Found = find(Key);
  return Found && *Found == Value;
}

// ---- Selector --------------------------------------------------------------

static std::vector<std::string> split(const std::string &Text, char Separator) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  std::string Part;
  while (std::getline(Stream, Part, Separator))
    Parts.push_back(Part);
  if (!Text.empty() && Text.back() == Separator)
    Parts.emplace_back();
  return Parts;
}

static std::string trim(const std::string &Text) {
  const char *Whitespace = " \t";
  auto First = Text.find_first_not_of(Whitespace);
  if (First == std::string::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Whitespace) - First + 1);
}

static bool isValidKey(const std::string &Key) {
  return !Key.empty() && Key.find_first_of("=!|, \t") == std::string::npos;
}

static Reason invalidSelector(const std::string &Part, const char *Rule) {
  return {.m_Code = ReasonCode::InvalidInput,
          .m_Field = "selector",
          .m_Message = "'" + Part + "': " + Rule};
}

static Outcome<Requirement> parseRequirement(const std::string &Part) {
  auto Equals = Part.find('=');
  Requirement Parsed;
  if (Equals == std::string::npos) {
    bool Negated = !Part.empty() && Part.front() == '!';
    Parsed.m_Kind =
        Negated ? Requirement::Kind::Absent : Requirement::Kind::Present;
    Parsed.m_Key = Negated ? Part.substr(1) : Part;
  } else {
    bool Negated = Equals > 0 && Part[Equals - 1] == '!';
    Parsed.m_Kind =
        Negated ? Requirement::Kind::NoneOf : Requirement::Kind::OneOf;
    Parsed.m_Key = trim(Part.substr(0, Negated ? Equals - 1 : Equals));
    for (const std::string &Value : split(Part.substr(Equals + 1), '|'))
      Parsed.m_Values.push_back(trim(Value));
    if (Parsed.m_Values.empty() ||
        std::count(Parsed.m_Values.begin(), Parsed.m_Values.end(), "") != 0)
      return invalidSelector(Part, "a value must not be empty");
  }
  if (!isValidKey(Parsed.m_Key))
    return invalidSelector(Part, "must be key, !key, key=a|b or key!=a|b");
  return Parsed;
}

Outcome<Selector> Selector::parse(const std::string &Text) {
  Selector Parsed;
  if (trim(Text).empty())
    return Parsed;
  for (const std::string &Part : split(Text, ',')) {
    auto Requirement = parseRequirement(trim(Part));
    if (!Requirement)
      return Requirement.reason();
    Parsed.m_Requirements.push_back(*std::move(Requirement));
  }
  return Parsed;
}

static bool isMet(const Requirement &Needed, const Labels &Subject) {
  const std::string *Value = Subject.find(Needed.m_Key);
  auto IsListed = [&] {
    return Value && std::count(Needed.m_Values.begin(), Needed.m_Values.end(),
                               *Value) != 0;
  };
  switch (Needed.m_Kind) {
  case Requirement::Kind::Present:
    return Value != nullptr;
  case Requirement::Kind::Absent:
    return Value == nullptr;
  case Requirement::Kind::OneOf:
    return IsListed();
  case Requirement::Kind::NoneOf:
    return !IsListed();
  }
  return false;
}

static std::string toString(const Requirement &Value) {
  bool HasValues = !Value.m_Values.empty();
  std::string Text =
      Value.m_Kind == Requirement::Kind::Absent ? "!" : std::string();
  Text += Value.m_Key;
  if (HasValues)
    Text += Value.m_Kind == Requirement::Kind::NoneOf ? "!=" : "=";
  for (std::size_t I = 0; I < Value.m_Values.size(); ++I)
    Text += (I == 0 ? "" : "|") + Value.m_Values[I];
  return Text;
}

bool Selector::matches(const Labels &Subject) const {
  return std::all_of(
      m_Requirements.begin(), m_Requirements.end(),
      [&](const Requirement &Needed) { return isMet(Needed, Subject); });
}

std::string Selector::firstUnmet(const Labels &Subject) const {
  for (const Requirement &Needed : m_Requirements)
    if (!isMet(Needed, Subject))
      return toString(Needed);
  return {};
}

std::string toString(const Selector &Value) {
  std::string Text;
  for (const Requirement &Needed : Value.requirements())
    Text += (Text.empty() ? "" : ",") + toString(Needed);
  return Text;
}

} // namespace fireflydrift::core
