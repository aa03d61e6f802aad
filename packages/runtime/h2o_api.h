// Includes the h2o headers with C linkage. h2o.h must precede http1.h, which
// uses its types.
#ifndef FIREFLYDRIFT_RUNTIME_H2O_API_H
#define FIREFLYDRIFT_RUNTIME_H2O_API_H

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wpedantic"
#pragma GCC diagnostic ignored "-Wsign-compare"
#pragma GCC diagnostic ignored "-Wunused-parameter"
extern "C" {
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>
}
#pragma GCC diagnostic pop

#endif // FIREFLYDRIFT_RUNTIME_H2O_API_H
