package io.laburnummoor.gateway.process;

import io.laburnummoor.core.process.WindowedRetryBudget;
import io.laburnummoor.core.version.ExposureBound;

/**
 * Settings of a gateway.
 *
 * @param name name of the VM
 * @param failureDomain failure domain of the VM
 * @param host IP address to listen on
 * @param callerPort port for callers
 * @param readyPort port of the readiness check
 * @param metricsPort port of the metrics
 * @param exchangePort UDP port for messages from other routers
 * @param storeAddress host and port of the store, the platform's key-value service
 * @param revocationMillis time after which a revoked API key must no longer be accepted
 * @param stopMillis time from the stop signal to the kill signal
 * @param retryBudget limit on retries across all routers
 * @param exposure limit on the requests that a faulty version may receive
 */
public record GatewaySettings(
        String name,
        String failureDomain,
        String host,
        int callerPort,
        int readyPort,
        int metricsPort,
        int exchangePort,
        String storeAddress,
        long revocationMillis,
        long stopMillis,
        WindowedRetryBudget.Bound retryBudget,
        ExposureBound exposure) {}
