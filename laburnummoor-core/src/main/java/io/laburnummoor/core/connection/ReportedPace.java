package io.laburnummoor.core.connection;

/**
 * Pace of an upstream that one router knows from a response, passed on to the others.
 *
 * @param upstreamId id of the upstream
 * @param percent pace that the upstream reported, 100 is usual; 0 if it reported none
 * @param measuredPercent measured time of the request, in percent of the time expected at the reported pace; 0 if none
 * @param ageMillis age of the response when the pace was passed on
 */
public record ReportedPace(String upstreamId, int percent, int measuredPercent, long ageMillis) {}
