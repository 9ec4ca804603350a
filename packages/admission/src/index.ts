export * from './AdmissionController.js';
