package io.laburnummoor.bench.process;

import java.util.SplittableRandom;

import io.laburnummoor.core.version.AttemptOutcome;
import io.laburnummoor.core.version.LoadLevel;
import io.laburnummoor.core.version.Stratum;

/**
 * Synthetic outcomes of attempts on two versions: load changes, noise, engine crashes, the loss of a failure domain and
 * one kind of behaviour of the new version.
 */
final class TrafficModel {
    private static final double BASE_RATE = 40;
    private static final double BASE_ERROR_RATE = 0.003;
    private static final double FIRST_TOKEN_MICROS = 200_000;
    private static final double GAP_MICROS = 25_000;
    private static final String[] DOMAINS = {"sapporo", "asahikawa", "niseko"};
    private static final String[] ROUTES = {"summary", "letter", "other"};
    private static final double EVENT_SECOND = 300;
    private static final double LOSS_SECONDS = 4;

    private final Kind kind;

    TrafficModel(Kind kind) {
        this.kind = kind;
    }

    /** Returns the second at which the new version turns bad, 0 if it is bad from the start. */
    double firstBadSecond() {
        return switch (kind) {
            case BAD_LATER, BAD_LATER_SLOW, BAD_DURING_OUTAGE -> EVENT_SECOND;
                // The first time of high load.
            case BAD_UNDER_LOAD -> 150;
            default -> 0;
        };
    }

    boolean isStoreDown(double second) {
        return switch (kind) {
            case GOOD_STORE_OUTAGE -> second > 200 && second < 320;
            case BAD_DURING_OUTAGE -> second > EVENT_SECOND - 20 && second < EVENT_SECOND + 200;
            default -> false;
        };
    }

    int requestCount(double second, SplittableRandom random) {
        double rate = BASE_RATE * (isHighLoad(second) ? 2.5 : 1) * (0.8 + 0.4 * random.nextDouble());
        return (int) Math.round(kind == Kind.GOOD_THIN_TRAFFIC ? rate / 5 : rate);
    }

    Stratum stratum(double second, SplittableRandom random) {
        String domain = DOMAINS[random.nextInt(DOMAINS.length)];
        boolean gone = second > EVENT_SECOND + LOSS_SECONDS && second < EVENT_SECOND + 120;
        if (kind == Kind.GOOD_DOMAIN_LOSS && gone) {
            domain = DOMAINS[1 + random.nextInt(DOMAINS.length - 1)];
        }
        LoadLevel level =
                random.nextInt(10) == 0 ? LoadLevel.MEDIUM : isHighLoad(second) ? LoadLevel.HIGH : LoadLevel.LOW;
        return new Stratum(ROUTES[random.nextInt(ROUTES.length)], level, domain);
    }

    AttemptOutcome outcome(double second, Stratum stratum, boolean isNew, SplittableRandom random) {
        double errorRate = BASE_ERROR_RATE;
        if (kind == Kind.GOOD_NOISY && (long) second % 60 < 5) {
            errorRate = 0.1;
        }
        // Every 2 minutes an engine of one domain crashes and breaks a part of that domain's streams.
        double lossRate = second % 120 < 1 && stratum.failureDomain().equals(DOMAINS[2]) ? 0.3 : 0.0005;
        // The new version's upstreams are seen to fail a second before those of the old one.
        boolean lossSeen = second >= EVENT_SECOND + (isNew ? 0 : 1) && second < EVENT_SECOND + LOSS_SECONDS;
        if (kind == Kind.GOOD_DOMAIN_LOSS && lossSeen && stratum.failureDomain().equals(DOMAINS[0])) {
            lossRate = 0.95;
        }
        double slowdown = kind == Kind.GOOD_SLIGHTLY_SLOWER && isNew ? 1.05 : 1;
        if (isNew && second >= firstBadSecond()) {
            errorRate = Math.max(errorRate, badErrorRate(stratum));
            lossRate = kind == Kind.BAD_CRASHES ? 0.15 : lossRate;
            slowdown = kind == Kind.BAD_SLOW || kind == Kind.BAD_LATER_SLOW ? 2 : slowdown;
            slowdown = kind == Kind.BAD_SLOW_ONE_ROUTE && stratum.route().equals(ROUTES[1]) ? 2 : slowdown;
        }
        double draw = random.nextDouble();
        if (draw < lossRate) {
            return new AttemptOutcome(AttemptOutcome.End.LOST, 0, 0);
        }
        if (draw < lossRate + errorRate) {
            return new AttemptOutcome(AttemptOutcome.End.ERROR, 0, 0);
        }
        double load = 1 + 0.5 * stratum.loadLevel().ordinal() + (kind == Kind.GOOD_LOAD_CHANGES ? swing(second) : 0);
        return new AttemptOutcome(
                AttemptOutcome.End.COMPLETED,
                Math.round(FIRST_TOKEN_MICROS * load * slowdown * Math.exp(0.4 * gaussian(random))),
                Math.round(GAP_MICROS * load * slowdown * Math.exp(0.25 * gaussian(random))));
    }

    private double badErrorRate(Stratum stratum) {
        return switch (kind) {
            case BAD_AT_ONCE -> 0.5;
            case BAD_SUBTLE -> 0.05;
            case BAD_LATER, BAD_DURING_OUTAGE -> 0.2;
            case BAD_UNDER_LOAD -> stratum.loadLevel() == LoadLevel.HIGH ? 0.2 : 0;
            case BAD_ONE_ROUTE -> stratum.route().equals(ROUTES[1]) ? 0.2 : 0;
            default -> 0;
        };
    }

    private boolean isHighLoad(double second) {
        return kind != Kind.GOOD_THIN_TRAFFIC && second % 300 > 150;
    }

    private static double swing(double second) {
        return 0.6 * Math.sin(second / 20);
    }

    private static double gaussian(SplittableRandom random) {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
    }

    /** Behaviour of the new version and of its surroundings. */
    enum Kind {
        GOOD_STEADY,
        GOOD_NOISY,
        GOOD_LOAD_CHANGES,
        GOOD_SLIGHTLY_SLOWER,
        GOOD_DOMAIN_LOSS,
        GOOD_STORE_OUTAGE,
        GOOD_THIN_TRAFFIC,
        BAD_AT_ONCE,
        BAD_SUBTLE,
        BAD_LATER,
        BAD_LATER_SLOW,
        BAD_UNDER_LOAD,
        BAD_ONE_ROUTE,
        BAD_SLOW,
        BAD_SLOW_ONE_ROUTE,
        BAD_CRASHES,
        BAD_DURING_OUTAGE;

        boolean isGood() {
            return name().startsWith("GOOD");
        }
    }
}
