package io.laburnummoor.core.request;

/** Reason for which a request that would have to wait for a place is refused. None of them has run. */
public enum WaitRefusal {
    /** The predicted start is too late for a response before the deadline. */
    TOO_LATE,
    /** The queue holds as many requests, or bytes of them, as it may. */
    QUEUE_FULL,
    /** The queue is full and a more urgent request took the place in it. */
    DISPLACED,
    /** The process stops. */
    STOPPING
}
