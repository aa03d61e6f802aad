// Loaded before the server's libraries in a soak: makes its clock and its disk
// misbehave. What is wrong now stands in a small file that the soak rewrites:
//
//   clock_ms  rate_permille  sync_ms  disk
//
// clock_ms is added to the time of day; the steady clocks run at
// rate_permille; each sync takes sync_ms longer; disk is "ok", "full" (writes
// and syncs fail) or "power" (the next sync tears what it should have stored
// and kills the process).
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

// File descriptors above the standard ones; the data folder's files are there.
constexpr int FirstDataFile = 3;
constexpr int MostFiles = 1024;
constexpr long NanosecondsPerSecond = 1000000000;
constexpr long MsPerSecond = 1000;
constexpr long Permille = 1000;

// Sizes of files as of their last sync, where something was written since.
off_t SizeBefore[MostFiles];
bool IsDirty[MostFiles];

Faults readFaults() {
  Faults Now;
  const char *Path = std::getenv("SOAK_FAULTS");
  std::FILE *File = Path ? std::fopen(Path, "r") : nullptr;
  if (!File)
    return Now;
  int Read = std::fscanf(File, "%ld %ld %ld %7s", &Now.m_ClockMs,
                         &Now.m_RatePermille, &Now.m_SyncMs, Now.m_Disk);
  std::fclose(File);
  return Read == 4 ? Now : Faults();
}

template <class Function> Function *next(const char *Name) {
  return reinterpret_cast<Function *>(dlsym(RTLD_NEXT, Name));
}

bool isDataFile(int File) {
  struct stat Value {};
  return File >= FirstDataFile && File < MostFiles &&
         fstat(File, &Value) == 0 && S_ISREG(Value.st_mode);
}

bool is(const Faults &Now, const char *Disk) {
  return std::strcmp(Now.m_Disk, Disk) == 0;
}

// Keeps a part of what was written since the last sync, and dies.
void losePower(int File) {
  struct stat Value {};
  fstat(File, &Value);
  off_t Unsynced = Value.st_size - SizeBefore[File];
  timespec Clock{};
  next<int(clockid_t, timespec *)>("clock_gettime")(CLOCK_MONOTONIC, &Clock);
  off_t Kept = Unsynced > 0 ? Clock.tv_nsec % (Unsynced + 1) : 0;
  if (IsDirty[File] && ftruncate(File, SizeBefore[File] + Kept) != 0)
    std::abort();
  kill(getpid(), SIGKILL);
}

// Returns true when the disk refuses.
bool beforeSync(int File) {
  Faults Now = readFaults();
  if (is(Now, "power") && isDataFile(File))
    losePower(File);
  if (Now.m_SyncMs > 0)
    usleep(static_cast<useconds_t>(Now.m_SyncMs * 1000));
  if (File >= 0 && File < MostFiles)
    IsDirty[File] = false;
  return is(Now, "full");
}

} // namespace

extern "C" {

int clock_gettime(clockid_t Clock, timespec *Into) {
  static auto *Real = next<int(clockid_t, timespec *)>("clock_gettime");
  int Result = Real(Clock, Into);
  if (Result != 0)
    return Result;
  Faults Now = readFaults();
  if (Clock == CLOCK_REALTIME) {
    Into->tv_sec += Now.m_ClockMs / MsPerSecond;
  } else if (Clock == CLOCK_MONOTONIC || Clock == CLOCK_BOOTTIME) {
    long Rate = Now.m_RatePermille;
    long Left = Into->tv_sec % Permille * Rate;
    Into->tv_sec = Into->tv_sec / Permille * Rate + Left / Permille;
    Into->tv_nsec = Into->tv_nsec / Permille * Rate +
                    Left % Permille * (NanosecondsPerSecond / Permille);
    Into->tv_sec += Into->tv_nsec / NanosecondsPerSecond;
    Into->tv_nsec %= NanosecondsPerSecond;
  }
  return Result;
}

ssize_t write(int File, const void *Bytes, size_t Size) {
  static auto *Real = next<ssize_t(int, const void *, size_t)>("write");
  if (isDataFile(File)) {
    if (is(readFaults(), "full")) {
      errno = ENOSPC;
      return -1;
    }
    struct stat Value {};
    fstat(File, &Value);
    if (!IsDirty[File])
      SizeBefore[File] = Value.st_size;
    IsDirty[File] = true;
  }
  return Real(File, Bytes, Size);
}

int fsync(int File) {
  static auto *Real = next<int(int)>("fsync");
  if (beforeSync(File)) {
    errno = EIO;
    return -1;
  }
  return Real(File);
}

int fdatasync(int File) {
  static auto *Real = next<int(int)>("fdatasync");
  if (beforeSync(File)) {
    errno = EIO;
    return -1;
  }
  return Real(File);
}
}
