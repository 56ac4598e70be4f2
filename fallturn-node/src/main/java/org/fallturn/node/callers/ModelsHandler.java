package org.fallturn.node.callers;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Comparator;
import java.util.List;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.configuration.ServiceRecord;
import org.fallturn.core.configuration.ServiceRecord.ModelTarget;
import org.fallturn.core.configuration.TenantRecord;
import org.fallturn.core.error.FallturnException;

/** Lists the models that the caller's tenant may use, and no others. Thread-safe. */
final class ModelsHandler {

  private final CallerServices services;

  ModelsHandler(CallerServices services) {
    this.services = services;
  }

  /** Answers {@code GET /v1/models}. */
  void handle(CallerRequest caller) throws FallturnException {
    ConfigurationImage image = services.configuration().get();
    TenantRecord tenant = CallerIdentity.authenticate(image, caller.request().getHeaders());
    List<ModelEntry> entries =
        image.services().values().stream()
            .filter(service -> service.target() instanceof ModelTarget)
            .filter(service -> image.rule(tenant.tenant(), service.service()).isPresent())
            .sorted(Comparator.comparing(ServiceRecord::service))
            .map(service -> new ModelEntry(service.service().value(), "model", "fallturn"))
            .toList();
    services.answers().json(caller, new ModelList("list", entries));
  }

  /** Body of the answer. */
  private record ModelList(String object, List<ModelEntry> data) {}

  /** One model. */
  private record ModelEntry(String id, String object, @JsonProperty("owned_by") String ownedBy) {}
}
