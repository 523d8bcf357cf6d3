use std::convert::Infallible;
use std::sync::Arc;

use hyper::body::Incoming;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use zinniahinge_peer::PeerReceiver;
use zinniahinge_types::ConfigRequest;
use zinniahinge_types::FleetCharge;
use zinniahinge_types::FleetReport;
use zinniahinge_types::PlacementRequest;
use zinniahinge_types::SlotRequest;

use crate::coordinator::CoordinatorCell;
use crate::host_state::HostState;
use crate::peer_link::CHARGE_PATH;
use crate::peer_link::CONFIG_PATH;
use crate::peer_link::PLACE_PATH;
use crate::peer_link::REPORT_PATH;
use crate::peer_link::SLOT_PATH;
use crate::store_relay::config_since;

/// Server for the messages of other hosts; the receiver checks their authenticity.
#[derive(Clone)]
pub(crate) struct PeerRoutes {
    pub(crate) state: Arc<HostState>,
    pub(crate) cell: Arc<CoordinatorCell>,
    pub(crate) receiver: PeerReceiver,
}

impl PeerRoutes {
    /// Answers one message by its path; 404 for an unknown path.
    pub(crate) async fn serve(
        self,
        request: http::Request<Incoming>,
    ) -> Result<Response, Infallible> {
        let Self {
            state,
            cell,
            receiver,
        } = self;
        let request: Request = request.map(Body::from_incoming);
        let path = request.uri().path().to_owned();
        let response = match path.as_str() {
            REPORT_PATH => {
                receiver
                    .serve(request, async |report: FleetReport| {
                        cell.report(&report, state.now())
                    })
                    .await
            }
            CONFIG_PATH => {
                receiver
                    .serve(request, async |message: ConfigRequest| {
                        config_since(&state, &message)
                    })
                    .await
            }
            CHARGE_PATH => {
                receiver
                    .serve(request, async |message: FleetCharge| {
                        cell.charge(&message, &state)
                    })
                    .await
            }
            PLACE_PATH => {
                receiver
                    .serve(request, async |message: PlacementRequest| {
                        cell.place(&message, &state).await
                    })
                    .await
            }
            SLOT_PATH => {
                receiver
                    .serve(request, async |message: SlotRequest| {
                        cell.slot(&message, state.now())
                    })
                    .await
            }
            _ => {
                let mut response = Response::new(Body::default());
                *response.status_mut() = http::StatusCode::NOT_FOUND;
                response
            }
        };
        Ok(response)
    }
}
