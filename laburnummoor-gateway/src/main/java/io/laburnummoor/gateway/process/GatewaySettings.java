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
 * @param readyPort port of the readiness answer
 * @param metricsPort port of the metrics
 * @param exchangePort port for datagrams of other routers
 * @param storeAddress host and port of the platform's key-value service
 * @param revocationMillis time after which a withdrawn key must not be served
 * @param stopMillis time from the stop signal to the kill signal
 * @param retryBudget bound on repeats over all routers
 * @param exposure bound on the requests that a bad version may get
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
