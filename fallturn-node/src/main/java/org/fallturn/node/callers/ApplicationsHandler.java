package org.fallturn.node.callers;

import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;
import org.fallturn.core.admission.AdmissionTicket;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.configuration.ServiceRecord;
import org.fallturn.core.configuration.ServiceRecord.ApplicationTarget;
import org.fallturn.core.configuration.TenantRecord;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.idempotency.StoredAnswer;
import org.fallturn.node.application.ForwardedRequest;
import org.fallturn.node.idempotency.HeldClaim;

/** Serves {@code /services/{name}/...} by forwarding to application back ends. Thread-safe. */
final class ApplicationsHandler {

  static final String PREFIX = "/services/";
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final CallerServices services;

  ApplicationsHandler(CallerServices services) {
    this.services = services;
  }

  /** Handles one call. */
  void handle(CallerRequest caller) throws FallturnException {
    HttpFields fields = caller.request().getHeaders();
    CallerHeaders headers = CallerHeaders.read(fields);
    ConfigurationImage image = services.configuration().get();
    TenantRecord tenant = CallerIdentity.authenticate(image, fields);
    ServiceName name = serviceName(caller);
    ServiceRecord service = CallerIdentity.service(image, name);
    CallerIdentity.authorize(image, tenant, name);
    if (!(service.target() instanceof ApplicationTarget)) {
      throw new FallturnException(
          ErrorKind.NOT_FOUND, "service " + name + " is not an application");
    }
    BodyReader.read(
        caller.request(),
        services,
        body -> start(caller, headers, tenant, service, body),
        error -> services.refuse(caller, error));
  }

  private static ServiceName serviceName(CallerRequest caller) throws FallturnException {
    String path = Request.getPathInContext(caller.request());
    String rest = path.substring(PREFIX.length());
    int slash = rest.indexOf('/');
    String name = slash < 0 ? rest : rest.substring(0, slash);
    if (name.isBlank()) {
      throw new FallturnException(ErrorKind.NOT_FOUND, "the path names no service");
    }
    return new ServiceName(name);
  }

  private void start(
      CallerRequest caller,
      CallerHeaders headers,
      TenantRecord tenant,
      ServiceRecord service,
      byte[] body) {
    long deadlineMillis = headers.deadlineMillisFor(service);
    RequestClaims.Wish wish =
        new RequestClaims.Wish(
            tenant, service, headers.idempotencyKey(), caller.request(), body, deadlineMillis);
    CallerAdmission.admit(
        services,
        caller,
        tenant.tenant(),
        service.service(),
        0,
        ticket ->
            services
                .claims()
                .settle(wish, new Start(caller, tenant, service, body, deadlineMillis, ticket)));
  }

  /** Starts the exchange once its claim, if it needs one, is settled. */
  private final class Start implements RequestClaims.Verdict {

    private final CallerRequest caller;
    private final TenantRecord tenant;
    private final ServiceRecord service;
    private final byte[] body;
    private final long deadlineMillis;
    private final AdmissionTicket ticket;

    Start(
        CallerRequest caller,
        TenantRecord tenant,
        ServiceRecord service,
        byte[] body,
        long deadlineMillis,
        AdmissionTicket ticket) {
      this.caller = caller;
      this.tenant = tenant;
      this.service = service;
      this.body = body;
      this.deadlineMillis = deadlineMillis;
      this.ticket = ticket;
    }

    @Override
    public void run(Optional<HeldClaim> claim) throws FallturnException {
      HttpFields fields =
          ForwardHeaders.forBackEnd(
              caller.request().getHeaders(), tenant.tenant(), caller.requestId(), deadlineMillis);
      ForwardedRequest forwarded =
          new ForwardedRequest(
              caller.request().getMethod(),
              caller.request().getHttpURI().getPathQuery(),
              fields,
              body);
      long deadlineNanos = caller.startNanos() + deadlineMillis * NANOS_PER_MILLI;
      ApplicationExchange exchange =
          new ApplicationExchange(
              services, caller, service, forwarded, claim, ticket, deadlineNanos);
      exchange.start();
      caller.connection().onFailure(exchange::onCallerFailure);
    }

    @Override
    public void replay(StoredAnswer answer) {
      ticket.finished(0);
      services.replay(caller, answer);
    }

    @Override
    public void refuse(FallturnException error) {
      ticket.finished(0);
      services.refuse(caller, error);
    }
  }
}
