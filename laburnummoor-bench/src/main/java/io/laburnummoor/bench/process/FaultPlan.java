package io.laburnummoor.bench.process;

import java.util.SplittableRandom;

/** Brings about failures around plain services at a fixed interval, in an order that the seed decides. */
final class FaultPlan {
    private static final long OUTAGE_MILLIS = 700;
    private static final long PAUSE_MILLIS = 900;
    private static final int KINDS = 6;

    private final LocalDeployment deployment;
    private final SplittableRandom random;

    FaultPlan(LocalDeployment deployment, SplittableRandom random) {
        this.deployment = deployment;
        this.random = random;
    }

    /** Runs for about the given time; one router is stopped at a third of it, one is cut off at two thirds. */
    void run(long durationMillis, long intervalMillis) throws InterruptedException {
        long startedAtMillis = System.currentTimeMillis();
        long elapsedMillis = 0;
        boolean stopped = false;
        boolean cutOff = false;
        boolean upstreamDied = false;
        while (elapsedMillis < durationMillis) {
            if (!stopped && elapsedMillis > durationMillis / 3) {
                deployment.routers().get(0).stop();
                stopped = true;
            } else if (!cutOff && elapsedMillis > durationMillis * 2 / 3) {
                deployment.routers().get(1).cutOff();
                cutOff = true;
            } else if (!upstreamDied && elapsedMillis > durationMillis / 2) {
                deployment.plainServices().get(0).service().stop();
                upstreamDied = true;
            } else {
                injectOne();
            }
            Thread.sleep(intervalMillis);
            elapsedMillis = System.currentTimeMillis() - startedAtMillis;
        }
        deployment.platform().setDown(false);
    }

    private void injectOne() throws InterruptedException {
        PlainServiceStandIn upstream = deployment
                .plainServices()
                .get(1 + random.nextInt(deployment.plainServices().size() - 1))
                .service();
        switch (random.nextInt(KINDS)) {
            case 0 -> {
                deployment.platform().setDown(true);
                Thread.sleep(OUTAGE_MILLIS);
                deployment.platform().setDown(false);
            }
            case 1, 2 -> deployment.platform().loseAnswers(1 + random.nextInt(4));
            case 3 -> upstream.dropBeforeRun(1 + random.nextInt(2));
            case 4 -> upstream.dropAfterRun(1 + random.nextInt(2));
            default -> {
                upstream.pause();
                Thread.sleep(PAUSE_MILLIS);
                upstream.unpause();
            }
        }
    }
}
