// A stand-in for a full disk: while it exists, no write may extend a file of
// this process beyond a size.
#ifndef FIREFLYDRIFT_TESTS_RUNTIME_FULL_DISK_H
#define FIREFLYDRIFT_TESTS_RUNTIME_FULL_DISK_H

#include <csignal>
#include <sys/resource.h>

namespace fireflydrift::runtime {

class FullDisk {
public:
  explicit FullDisk(rlim_t MaxFileBytes) {
    // Writes beyond the limit fail when the signal is ignored.
    std::signal(SIGXFSZ, SIG_IGN);
    getrlimit(RLIMIT_FSIZE, &m_Before);
    rlimit Small{.rlim_cur = MaxFileBytes, .rlim_max = m_Before.rlim_max};
    setrlimit(RLIMIT_FSIZE, &Small);
  }
  ~FullDisk() { setrlimit(RLIMIT_FSIZE, &m_Before); }
  FullDisk(const FullDisk &) = delete;
  FullDisk &operator=(const FullDisk &) = delete;

private:
  rlimit m_Before{};
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_TESTS_RUNTIME_FULL_DISK_H
