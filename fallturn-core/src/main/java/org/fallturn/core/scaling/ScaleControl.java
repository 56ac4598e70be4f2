package org.fallturn.core.scaling;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.ServiceDefinition;
import org.fallturn.core.usage.DutyOutcome;

/**
 * The planners of all services whose engines may be ordered. One thread calls.
 *
 * <p>Invariant: orders are planned only by a node that has led for a while, from a list of engines
 * that is known to be new.
 */
public final class ScaleControl {

  private final ScaleParameters parameters;
  private final Map<String, ScalePlanner> planners = new HashMap<>();
  private EngineDirectory directory = EngineDirectory.empty();
  private Collection<ServiceDefinition> services = List.of();

  /** A control that knows no service. */
  public ScaleControl(ScaleParameters parameters) {
    this.parameters = parameters;
  }

  /** Takes a newer list of engines. */
  public void setDirectory(EngineDirectory newDirectory) {
    directory = newDirectory;
  }

  /** Takes a newer set of services. */
  public void setServices(Collection<ServiceDefinition> newServices) {
    services = newServices;
  }

  /** What is to be done now, if anything. */
  public Optional<ScaleAction> wanted(long nowNanos) {
    for (ServiceDefinition service : services) {
      if (service.scaling().isPresent()) {
        Optional<ScaleAction> wish =
            planner(service.name())
                .wanted(service.scaling().get(), directory.ofService(service.name()), nowNanos);
        if (wish.isPresent()) {
          return wish;
        }
      }
    }
    return Optional.empty();
  }

  private ScalePlanner planner(String service) {
    return planners.computeIfAbsent(service, name -> new ScalePlanner(name, parameters));
  }

  /** The numbers of a service before any order. */
  public void onInitialCounts(String service, Map<String, Integer> byZone) {
    planner(service).onInitialCounts(byZone);
  }

  /** An order was answered, or not. */
  public void onAnswer(ScaleOrder order, DutyOutcome outcome, long nowNanos) {
    services.stream()
        .filter(service -> service.name().equals(order.service()))
        .flatMap(service -> service.scaling().stream())
        .forEach(terms -> planner(order.service()).onAnswer(order, terms, outcome, nowNanos));
  }
}
