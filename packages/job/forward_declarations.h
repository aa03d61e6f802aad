// Forward declarations of the job aggregate's types.
#ifndef FIREFLYDRIFT_JOB_FORWARD_DECLARATIONS_H
#define FIREFLYDRIFT_JOB_FORWARD_DECLARATIONS_H

namespace fireflydrift::job {

class Job;
struct GangMember;
struct JobFields;
struct JobSpec;

} // namespace fireflydrift::job

#endif // FIREFLYDRIFT_JOB_FORWARD_DECLARATIONS_H
