#include "placement/estimate.h"

#include <algorithm>

namespace fireflydrift::placement {

static constexpr const char *KindLabel = "kind";

WorkClass classOf(const job::JobSpec &Spec) {
  const std::string *Kind = Spec.m_Labels.find(KindLabel);
  return {.m_Workspace = Spec.m_Key.m_Workspace,
          .m_Kind = Kind ? *Kind : std::string()};
}

core::Duration Estimates::runTime(const job::JobSpec &Spec) const {
  auto Found = m_Runs.find(classOf(Spec));
  if (Found == m_Runs.end())
    return Spec.m_RunTime;
  std::vector<core::Duration> Samples = Found->second;
  // Once the history is full, the declared run time no longer counts.
  if (Samples.size() < MaxRunsPerClass)
    Samples.insert(
        Samples.end(),
        std::min(DeclarationWeight, MaxRunsPerClass - Samples.size()),
        Spec.m_RunTime);
  std::size_t Rank = Samples.size() * 9 / 10;
  Rank = std::min(Rank, Samples.size() - 1);
  auto Nth = Samples.begin() + static_cast<std::ptrdiff_t>(Rank);
  std::nth_element(Samples.begin(), Nth, Samples.end());
  return *Nth;
}

Estimates Estimates::withObservation(const job::JobSpec &Spec,
                                     core::Duration Ran) && {
  WorkClass Class = classOf(Spec);
  if (m_Runs.size() >= MaxClasses && !m_Runs.contains(Class))
    return std::move(*this);
  std::vector<core::Duration> &Runs = m_Runs[Class];
  Runs.push_back(Ran);
  if (Runs.size() > MaxRunsPerClass)
    Runs.erase(Runs.begin());
  return std::move(*this);
}

} // namespace fireflydrift::placement
