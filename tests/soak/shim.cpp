// An LD_PRELOAD library that injects clock and disk faults into a server
// process. The present faults are read from the file named by SOAK_FAULTS,
// which the soak test rewrites:
//
//   clock_ms  rate_permille  sync_ms  disk
//
// clock_ms, rounded toward zero to whole seconds, is added to CLOCK_REALTIME;
// CLOCK_MONOTONIC and CLOCK_BOOTTIME run at rate_permille; each sync takes
// sync_ms longer; disk is "ok", "full" (writes and syncs fail) or "power" (the
// next sync truncates the unsynced data of its file at an arbitrary point and
// kills the process, as a power loss does).
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <dlfcn.h>
#include <sys/stat.h>
#include <unistd.h>

namespace {

struct Faults {
  long m_ClockMs = 0;
  long m_RatePermille = 1000;
  long m_SyncMs = 0;
  char m_Disk[8] = "ok";
};

// Every regular file on a descriptor from FirstDataFile, above the standard
// streams, to below MaxFiles is taken to be a file of the data folder.
constexpr int FirstDataFile = 3;
constexpr int MaxFiles = 1024;
constexpr long NanosecondsPerSecond = 1000000000;
constexpr long MsPerSecond = 1000;
constexpr long Permille = 1000;

// File sizes at the last sync, by descriptor; set by the first write after it.
// Valid while IsDirty is set, that is while the file has unsynced writes.
off_t SyncedSize[MaxFiles];
bool IsDirty[MaxFiles];

Faults readFaults() {
  Faults Active;
  const char *Path = std::getenv("SOAK_FAULTS");
  std::FILE *File = Path ? std::fopen(Path, "r") : nullptr;
  if (!File)
    return Active;
  int Read =
      std::fscanf(File, "%ld %ld %ld %7s", &Active.m_ClockMs,
                  &Active.m_RatePermille, &Active.m_SyncMs, Active.m_Disk);
  std::fclose(File);
  return Read == 4 ? Active : Faults();
}

template <class Function> Function *realFunction(const char *Name) {
  return reinterpret_cast<Function *>(dlsym(RTLD_NEXT, Name));
}

bool isDataFile(int File) {
  struct stat Value {};
  return File >= FirstDataFile && File < MaxFiles && fstat(File, &Value) == 0 &&
         S_ISREG(Value.st_mode);
}

bool diskIs(const Faults &Active, const char *Disk) {
  return std::strcmp(Active.m_Disk, Disk) == 0;
}

// Simulates a power loss: keeps an arbitrary prefix of the data written to the
// file since its last sync and kills the process.
void losePower(int File) {
  struct stat Value {};
  fstat(File, &Value);
  off_t Unsynced = Value.st_size - SyncedSize[File];
  timespec Clock{};
  realFunction<int(clockid_t, timespec *)>("clock_gettime")(CLOCK_MONOTONIC,
                                                            &Clock);
  off_t Kept = Unsynced > 0 ? Clock.tv_nsec % (Unsynced + 1) : 0;
  if (IsDirty[File] && ftruncate(File, SyncedSize[File] + Kept) != 0)
    std::abort();
  kill(getpid(), SIGKILL);
}

// Applies the faults of a sync. Returns true when the sync must fail.
bool beforeSync(int File) {
  Faults Active = readFaults();
  if (diskIs(Active, "power") && isDataFile(File))
    losePower(File);
  if (Active.m_SyncMs > 0)
    usleep(static_cast<useconds_t>(Active.m_SyncMs * 1000));
  return diskIs(Active, "full");
}

// Remembers the result of a sync; what a failed one left unsynced stays so.
int afterSync(int File, int Result) {
  if (Result == 0 && File >= 0 && File < MaxFiles)
    IsDirty[File] = false;
  return Result;
}

} // namespace

extern "C" {

int clock_gettime(clockid_t Clock, timespec *Out) {
  static auto *Real = realFunction<int(clockid_t, timespec *)>("clock_gettime");
  int Result = Real(Clock, Out);
  if (Result != 0)
    return Result;
  Faults Active = readFaults();
  if (Clock == CLOCK_REALTIME) {
    Out->tv_sec += Active.m_ClockMs / MsPerSecond;
  } else if (Clock == CLOCK_MONOTONIC || Clock == CLOCK_BOOTTIME) {
    long Rate = Active.m_RatePermille;
    long Remainder = Out->tv_sec % Permille * Rate;
    Out->tv_sec = Out->tv_sec / Permille * Rate + Remainder / Permille;
    Out->tv_nsec = Out->tv_nsec / Permille * Rate +
                   Remainder % Permille * (NanosecondsPerSecond / Permille);
    Out->tv_sec += Out->tv_nsec / NanosecondsPerSecond;
    Out->tv_nsec %= NanosecondsPerSecond;
  }
  return Result;
}

ssize_t write(int File, const void *Bytes, size_t Size) {
  static auto *Real = realFunction<ssize_t(int, const void *, size_t)>("write");
  if (isDataFile(File)) {
    if (diskIs(readFaults(), "full")) {
      errno = ENOSPC;
      return -1;
    }
    struct stat Value {};
    fstat(File, &Value);
    if (!IsDirty[File])
      SyncedSize[File] = Value.st_size;
    IsDirty[File] = true;
  }
  return Real(File, Bytes, Size);
}

int fsync(int File) {
  static auto *Real = realFunction<int(int)>("fsync");
  if (beforeSync(File)) {
    errno = EIO;
    return -1;
  }
  return afterSync(File, Real(File));
}

int fdatasync(int File) {
  static auto *Real = realFunction<int(int)>("fdatasync");
  if (beforeSync(File)) {
    errno = EIO;
    return -1;
  }
  return afterSync(File, Real(File));
}
}
