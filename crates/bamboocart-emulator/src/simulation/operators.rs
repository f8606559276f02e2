//! Operators: the log in which they request evacuations, and its readers.
//!
//! Unlike on the platform, a change reaches an instance only when it next renews its
//! membership, so it comes later than with a waiting read.

use bamboocart_jobs::{
    EvacuationNotice, EvacuationRequest, OperatorChange, OperatorPage,
};

use super::{Event, Input, Simulation};

impl Simulation<'_> {
    /// Appends the request for a failure domain to the operators' log; the answer of the
    /// store is the acknowledgement.
    pub(super) fn request(&mut self, domain: usize, request: EvacuationRequest) {
        let name = self.scenario.domains[domain].name.as_str();
        let offset = self.operator_log.len() as u64;
        self.operator_log.push(EvacuationNotice {
            failure_domain: name.into(),
            offset,
            request,
        });
        match request {
            EvacuationRequest::Evacuate => {
                self.checker.note_evacuated(self.now_us, domain)
            }
            EvacuationRequest::TakeBack => self.checker.note_taken_back(domain),
        }
    }

    /// Lets an instance that the store serves read what it has not read yet.
    pub(super) fn read_operator_log(&mut self, instance: usize) {
        let read = self.instances[instance].operator_offset;
        if read >= self.operator_log.len() {
            return;
        }
        self.instances[instance].operator_offset = self.operator_log.len();
        let incarnation = self.instances[instance].incarnation;
        let notices = self.operator_log[read..].to_vec();
        self.schedule(0, Event::Input(instance, incarnation, Input::Operators(notices)));
    }

    /// Returns the page with some notices.
    pub(super) fn operator_page(notices: Vec<EvacuationNotice>) -> OperatorPage {
        let next_offset = notices.last().map_or(0, |notice| notice.offset + 1);
        let changes = notices.into_iter().map(OperatorChange::Evacuation).collect();
        OperatorPage { changes, next_offset, complete: false }
    }
}
