package io.laburnummoor.agent.process;

import io.laburnummoor.core.process.FencedOrderExecutor;
import io.laburnummoor.core.version.UpstreamOrder;
import io.laburnummoor.wire.generated.Order;
import io.laburnummoor.wire.generated.OrderResult;
import io.laburnummoor.wire.generated.OrderService;
import org.jboss.logging.Logger;

/** Takes orders of the rollout controller. */
final class OrderHandler implements OrderService.Iface {
    private static final Logger LOGGER = Logger.getLogger(OrderHandler.class);

    private final FencedOrderExecutor gate;

    OrderHandler(FencedOrderExecutor gate) {
        this.gate = gate;
    }

    @Override
    public OrderResult execute(Order order) {
        UpstreamOrder.Result result = gate.execute(new UpstreamOrder(
                order.getOrderId(),
                order.getToken(),
                UpstreamOrder.Kind.valueOf(order.getKind().name()),
                order.getTarget(),
                order.getDeadlineMillis()));
        LOGGER.infof(
                "order %s (%s %s, token %d): %s",
                order.getOrderId(), order.getKind(), order.getTarget(), order.getToken(), result);
        return OrderResult.valueOf(result.name());
    }
}
