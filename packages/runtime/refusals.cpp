#include "runtime/refusals.h"

#include "runtime/events.h"

namespace fireflydrift::runtime {

static constexpr core::Duration LogInterval{1000};

RefusalLimiter recordRefusal(RefusalLimiter Before, Counters &Metrics,
                             const Refusal &Value, core::Time Now) {
  Metrics.add("fireflydrift_messages_refused_total", 1,
              std::string("kind=\"") + Value.m_Kind + "\"");
  if (Now - Before.m_LastLoggedAt < LogInterval) {
    ++Before.m_Unlogged;
    return Before;
  }
  logEvent(Event::MessageRefused,
           {{"kind", Value.m_Kind},
            {"source", Value.m_Source},
            {"subject", Value.m_Subject},
            {"reason", core::toString(Value.m_Reason)},
            {"unlogged_before", std::to_string(Before.m_Unlogged)}});
  return {.m_LastLoggedAt = Now};
}

} // namespace fireflydrift::runtime
