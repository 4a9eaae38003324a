package io.laburnummoor.router.process;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import io.laburnummoor.core.Clock;
import io.laburnummoor.core.process.ConfigHolder;
import io.laburnummoor.core.process.DeclaredRollouts;
import io.laburnummoor.core.process.EvidenceInbox;
import io.laburnummoor.core.process.KeyValueStore;
import io.laburnummoor.core.process.RolloutController;
import io.laburnummoor.core.process.RolloutStateCodec;
import io.laburnummoor.core.process.RouterPeers;
import io.laburnummoor.core.process.TrafficShares;
import io.laburnummoor.core.version.RolloutObservers;
import io.laburnummoor.core.version.RolloutRules;
import io.laburnummoor.core.version.SequentialEvaluation;
import io.laburnummoor.router.connection.RolloutPeers;
import io.laburnummoor.router.version.RolloutFollower;
import io.laburnummoor.router.version.RolloutNotifier;
import io.laburnummoor.router.version.RouterRolloutEvidence;
import io.laburnummoor.wire.generated.RolloutService;
import io.laburnummoor.wire.process.JsonHttp;
import io.laburnummoor.wire.version.RolloutJson;

/** Guice bindings of a router's part in rollouts. */
final class RolloutModule extends AbstractModule {
    private final RouterSettings settings;

    RolloutModule(RouterSettings settings) {
        this.settings = settings;
    }

    @Override
    protected void configure() {
        bind(RolloutStateCodec.class).toInstance(new RolloutJson());
        bind(RolloutObservers.class).toInstance(new RolloutObservers());
        bind(EvidenceInbox.class).toInstance(new EvidenceInbox());
    }

    @Provides
    @Singleton
    DeclaredRollouts declaredRollouts(ConfigHolder config) {
        return () -> config.current().rollouts();
    }

    @Provides
    @Singleton
    TrafficShares shares(Clock clock) {
        return new TrafficShares(clock);
    }

    @Provides
    @Singleton
    RolloutPeers peers(RouterPeers routers) {
        return new RolloutPeers(routers, settings.name());
    }

    @Provides
    @Singleton
    RolloutController controller(
            KeyValueStore store,
            RolloutStateCodec codec,
            EvidenceInbox inbox,
            TrafficShares shares,
            RolloutPeers peers) {
        return new RolloutController(
                store,
                codec,
                new RouterRolloutEvidence(inbox, shares, peers),
                new RolloutRules(settings.rolloutMinStepMillis()),
                SequentialEvaluation::new,
                settings.name(),
                Clock.wall());
    }

    @Provides
    @Singleton
    RolloutService.Iface handler(
            RolloutController controller, TrafficShares shares, EvidenceInbox inbox, RolloutStateCodec codec) {
        return new RolloutServiceHandler(controller, shares, inbox, codec);
    }

    @Provides
    @Singleton
    RolloutFollower follower(
            DeclaredRollouts declarations,
            RolloutObservers observers,
            TrafficShares shares,
            RolloutController controller,
            EvidenceInbox inbox,
            RolloutPeers peers,
            KeyValueStore store,
            RolloutStateCodec codec,
            JsonHttp http) {
        return new RolloutFollower(
                declarations,
                observers,
                shares,
                controller,
                inbox,
                peers,
                store,
                codec,
                new RolloutNotifier(store, http, settings.rolloutWebhook()),
                settings.name());
    }
}
