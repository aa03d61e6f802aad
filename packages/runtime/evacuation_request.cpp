#include "runtime/evacuation_request.h"

namespace fireflydrift::runtime {

// An operator without a response goes on to another VM after a second. The
// revision must be read before that.
static constexpr core::Duration ReadTimeout{800};
// Longer than an election.
static constexpr core::Duration ChangeTimeout{4000};

static control::ChangeEvacuation
changeFor(const EvacuationRequest &Request,
          const control::EvacuationsView &Known) {
  auto Found = Known.m_Domains.find(Request.m_FailureDomain);
  return {.m_Change = {.m_FailureDomain = Request.m_FailureDomain,
                       .m_Evacuated = Request.m_Evacuate,
                       .m_ReplacesRevision = Found == Known.m_Domains.end()
                                                 ? 0
                                                 : Found->second.m_Revision},
          .m_AllowUnknown = Request.m_AllowUnknown};
}

void requestEvacuation(Node &Local, EvacuationRequest Request,
                       Entry::ReplyCallback Callback) {
  Local.entry().submit(
      control::ReadEvacuations{}, core::WorkspaceId(),
      [&Local, Request = std::move(Request),
       Callback = std::move(Callback)](const control::Reply &Reply) {
        const auto *Known = std::get_if<control::EvacuationsView>(&Reply);
        if (!Known)
          return Callback(Reply);
        Local.entry().submit(changeFor(Request, *Known), core::WorkspaceId(),
                             Callback, Local.now(), ChangeTimeout);
      },
      Local.now(), ReadTimeout);
}

} // namespace fireflydrift::runtime
