package io.laburnummoor.core.version;

import java.util.Set;

/**
 * Decides whether a call of a plain service is idempotent, so that it may be sent again after a failure.
 *
 * <p>A declared route covers its path and everything below it, for all methods. A route that starts with {@code !} is
 * not idempotent for any method and takes precedence over the others. Of the remaining calls only GET and HEAD are
 * idempotent.
 */
public final class IdempotencyClassifier {
    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD");
    private static final String NEGATION = "!";

    private IdempotencyClassifier() {}

    /** Returns whether a call is idempotent; the path starts with a slash. */
    public static boolean isIdempotent(ServiceDeclaration service, String method, String path) {
        boolean declared = false;
        for (String route : service.idempotentRoutes()) {
            if (route.startsWith(NEGATION) && covers(route.substring(NEGATION.length()), path)) {
                return false;
            }
            declared |= covers(route, path);
        }
        return declared || SAFE_METHODS.contains(method);
    }

    private static boolean covers(String route, String path) {
        return path.equals(route) || path.startsWith(route.endsWith("/") ? route : route + "/");
    }
}
