// Forward declarations of the membership aggregate's types.
#ifndef FIREFLYDRIFT_MEMBERSHIP_FORWARD_DECLARATIONS_H
#define FIREFLYDRIFT_MEMBERSHIP_FORWARD_DECLARATIONS_H

namespace fireflydrift::membership {

class Membership;
struct Contact;
struct VmAddress;

} // namespace fireflydrift::membership

#endif // FIREFLYDRIFT_MEMBERSHIP_FORWARD_DECLARATIONS_H
