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
 * Holds the planners of all services whose engines may be ordered. One thread calls.
 *
 * <p>Invariant: it plans orders only on a node that has been the leader for a while and whose list
 * of engines is known to be up to date. The caller ensures this.
 */
public final class ScaleControl {

  private final ScaleParameters parameters;
  private final Map<String, ScalePlanner> planners = new HashMap<>();
  private EngineDirectory directory = EngineDirectory.empty();
  private Collection<ServiceDefinition> services = List.of();

  /** Creates a control without services. */
  public ScaleControl(ScaleParameters parameters) {
    this.parameters = parameters;
  }

  /** Takes an updated list of engines. */
  public void setDirectory(EngineDirectory newDirectory) {
    directory = newDirectory;
  }

  /** Takes an updated set of services. */
  public void setServices(Collection<ServiceDefinition> newServices) {
    services = newServices;
  }

  /** Returns the next action, if any. */
  public Optional<ScaleAction> wanted(long nowNanos) {
    for (ServiceDefinition service : services) {
      if (service.scaling().isPresent()) {
        Optional<ScaleAction> action =
            planner(service.name())
                .wanted(service.scaling().get(), directory.ofService(service.name()), nowNanos);
        if (action.isPresent()) {
          return action;
        }
      }
    }
    return Optional.empty();
  }

  private ScalePlanner planner(String service) {
    return planners.computeIfAbsent(service, name -> new ScalePlanner(name, parameters));
  }

  /** Takes the recorded counts of a service, from before any order. */
  public void onInitialCounts(String service, Map<String, Integer> byZone) {
    planner(service).onInitialCounts(byZone);
  }

  /** Handles that the store was restored from a copy: recorded counts are recorded again. */
  public void onStoreRestored() {
    planners.values().forEach(ScalePlanner::onStoreRestored);
  }

  /** Handles the answer to an order, or its absence. */
  public void onAnswer(ScaleOrder order, DutyOutcome outcome, long nowNanos) {
    services.stream()
        .filter(service -> service.name().equals(order.service()))
        .flatMap(service -> service.scaling().stream())
        .forEach(terms -> planner(order.service()).onAnswer(order, terms, outcome, nowNanos));
  }
}
