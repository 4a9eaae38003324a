package io.laburnummoor.core.connection;

/**
 * Load that an upstream reports with a response.
 *
 * @param running number of running requests
 * @param waiting number of waiting requests
 * @param slots number of requests that the upstream runs concurrently; 0 if not reported
 * @param pacePercent time that work takes on the upstream's machine at this moment, 100 is usual; 0 if not reported
 */
public record ReportedLoad(int running, int waiting, int slots, int pacePercent) {
    /** Creates a report without slots and pace. */
    public ReportedLoad(int running, int waiting) {
        this(running, waiting, 0, 0);
    }
}
