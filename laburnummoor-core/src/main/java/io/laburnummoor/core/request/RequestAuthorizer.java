package io.laburnummoor.core.request;

import io.laburnummoor.core.version.ForwardConfig;
import io.laburnummoor.core.version.ForwardRoute;
import org.jspecify.annotations.Nullable;

/** Decides whether a request may be forwarded, from the configuration in force and its age. */
public final class RequestAuthorizer {
    private RequestAuthorizer() {}

    /**
     * Decides on a request.
     *
     * @param config configuration in force, or null if this process has not read one yet
     * @param configIsFresh whether the configuration is recent enough to include every revocation of a key
     * @param key key that the caller sent, or null
     */
    public static Decision decide(
            @Nullable ForwardConfig config, boolean configIsFresh, String host, String path, @Nullable String key) {
        if (config == null) {
            return Decision.refuse(Refusal.NO_CONFIGURATION);
        }
        ForwardRoute route = config.findRoute(host, path);
        if (route == null) {
            return Decision.refuse(configIsFresh ? Refusal.UNKNOWN_ROUTE : Refusal.STALE_CONFIGURATION);
        }
        if (route.anonymous() || !config.keysRequired()) {
            String organisation = key == null ? null : config.organisationOf(key);
            return new Decision(null, route, configIsFresh ? organisation : null);
        }
        if (!configIsFresh) {
            return Decision.refuse(Refusal.STALE_CONFIGURATION);
        }
        String organisation = key == null ? null : config.organisationOf(key);
        return organisation == null ? Decision.refuse(Refusal.UNKNOWN_KEY) : new Decision(null, route, organisation);
    }

    /** Why a request is not forwarded. */
    public enum Refusal {
        /** No configuration is known yet. */
        NO_CONFIGURATION,
        /** The configuration is too old to tell whether the key or route is still valid. */
        STALE_CONFIGURATION,
        /** No route matches host and path. */
        UNKNOWN_ROUTE,
        /** The key belongs to no organisation. */
        UNKNOWN_KEY
    }

    /**
     * The decision on a request; either a refusal or a route.
     *
     * @param refusal why the request is not forwarded, or null
     * @param route route of the request, or null
     * @param organisation organisation of the caller, or null if the route needs none
     */
    public record Decision(@Nullable Refusal refusal, @Nullable ForwardRoute route, @Nullable String organisation) {
        static Decision refuse(Refusal refusal) {
            return new Decision(refusal, null, null);
        }
    }
}
